#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Skips those that are there.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config clang-format clang-tidy git curl
  libcpp-httplib-dev libgflags-dev libspdlog-dev libfmt-dev libboost-dev cpputest librapidcheck-dev
  libflatbuffers-dev libyaml-cpp-dev liburcu-dev libxxhash-dev nlohmann-json3-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}"
