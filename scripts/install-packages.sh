#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, and those given as arguments. Skips
# those that are there. With --libraries, prints the names of the libraries instead.
set -euo pipefail
tools=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy python3-clang-14 git curl
)
libraries=(
  libcpp-httplib-dev libgflags-dev libspdlog-dev libfmt-dev libboost-dev cpputest librapidcheck-dev
  libflatbuffers-dev libyaml-cpp-dev liburcu-dev libxxhash-dev nlohmann-json3-dev libssl-dev zlib1g-dev
)
if [ "${1:-}" = --libraries ]; then
  echo "${libraries[@]}"
  exit 0
fi
missing=()
for package in "${tools[@]}" "${libraries[@]}" "$@"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}"
