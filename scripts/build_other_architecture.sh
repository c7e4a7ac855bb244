#!/usr/bin/env bash
# Builds and links every program for the other architecture, with warnings as errors: for x86-64 on arm64,
# for arm64 on x86-64. Uses Debian's cross compiler of the same version and Debian's libraries of that
# architecture, unpacked into a folder of their own. Runs nothing of what it builds.
# Usage: scripts/build_other_architecture.sh [BUILD [CMAKE_OPTION...]]
set -euo pipefail
source=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$source/build-other}

fail() { echo "other architecture: FAILED: $*"; exit 1; }

case $(uname -m) in
  aarch64) processor=x86_64 debian=amd64 ;;
  x86_64) processor=aarch64 debian=arm64 ;;
  *) fail "none is known for $(uname -m)" ;;
esac
version=$(g++ -dumpversion)
version=${version%%.*}
target=$processor-linux-gnu
suffix=${target//_/-}
"$source/scripts/install-packages.sh" "g++-$version-$suffix" ||
  fail "g++-$version-$suffix can't be installed"
command -v "$target-g++-$version" > /dev/null || fail "$target-g++-$version is missing"

# Libraries of the other architecture: apt works on folders of its own, so the machine stays as it is.
read -r -a libraries <<< "$("$source/scripts/install-packages.sh" --libraries)"
cache=${XDG_CACHE_HOME:-$HOME/.cache}/snipeplank-$target
key=$(dpkg-query -W "${libraries[@]}" | sha256sum | cut -c1-16)
sysroot=$cache/$key
if [ ! -e "$sysroot/complete" ]; then
  work=$(mktemp -d)
  trap 'rm -rf "$work"' EXIT
  mkdir -p "$work/state/lists/partial" "$work/archives/partial"
  touch "$work/state/status"
  options=(-qq -o "Dir::State=$work/state" -o "Dir::State::status=$work/state/status" -o "Dir::Cache=$work"
           -o "APT::Architecture=$debian" -o "APT::Architectures=$debian" -o "Debug::NoLocking=1")
  { apt-get "${options[@]}" update &&
    apt-get "${options[@]}" install -y --no-install-recommends --download-only "${libraries[@]}"; } ||
    fail "the libraries of $debian can't be fetched"
  rm -rf "$sysroot"
  mkdir -p "$sysroot"
  for package in "$work"/archives/*.deb; do
    dpkg-deb -x "$package" "$sysroot" || fail "$package can't be unpacked"
  done
  touch "$sysroot/complete"
fi

export SNIPEPLANK_PROCESSOR=$processor SNIPEPLANK_SYSROOT=$sysroot
export SNIPEPLANK_C_COMPILER=$target-gcc-$version SNIPEPLANK_CXX_COMPILER=$target-g++-$version
cmake -S "$source" -B "$build" -G Ninja -DCMAKE_TOOLCHAIN_FILE="$source/cmake/other_architecture.cmake" \
  -DSNIPEPLANK_WARNINGS_AS_ERRORS=ON "${@:2}" > "$build.log" 2>&1 || { cat "$build.log"; fail "configuration"; }
rm -f "$build.log"
cmake --build "$build" -- -k 0 || fail "the sources do not build for $target"
programs=("$build"/bin/*)
echo "other architecture: ${#programs[@]} programs built and linked for $target with GCC" \
  "$("$target-g++-$version" -dumpfullversion); none was run"
