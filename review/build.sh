#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. Needs the packages of
# the deploy file only. The node itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Ipackages/core/include)
read -r -a library_flags <<< "$(pkg-config --cflags cpp-httplib gflags)"
read -r -a libraries <<< "$(pkg-config --libs cpp-httplib gflags openssl)"
compile() { g++ "${flags[@]}" "${library_flags[@]}" -c "$1" -o "$out/$2.o"; }
compile standins/support/http_server.cpp http_server &
compile standins/store/main.cpp standin_store &
compile standins/server/main.cpp standin_server &
compile review/standins/paging_store.cpp paging_store &
compile review/standins/steady_client.cpp steady_client &
compile review/standins/cold_server.cpp cold_server &
for _ in 1 2 3 4 5 6; do wait -n; done
for name in standin_store standin_server paging_store steady_client cold_server; do
  g++ "$out/$name.o" "$out/http_server.o" -o "$out/$name" "${libraries[@]}" -pthread
done
echo "built into $out"
