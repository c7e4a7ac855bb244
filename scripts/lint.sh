#!/usr/bin/env bash
# Checks formatting and runs the linter over every source file that the build compiles, and the check of
# argument lists whose result depends on the order of evaluation.
# With --fix, formats the files in place instead. Needs a finished build for the lists of headers.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.hpp' '*.cpp' | grep -v generated | sort -u)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
# `dump` throws on bytes that are not UTF-8, which documents take from other programs.
if git grep -n '\.dump(' -- 'packages/*/src' 'packages/*/include' platform/src platform/include \
    ':!packages/core/include/snipeplank/core/json_text.hpp'; then
  echo "use core::json_text in place of dump"
  exit 1
fi
build=${BUILD_DIR:-build}
# A file that passed is checked again only when its text, a header of the project that it includes,
# the rules, the linter or its compile command have changed.
cache=${XDG_CACHE_HOME:-$HOME/.cache}/snipeplank-lint
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
ninja -C "$build" -t deps 2> /dev/null > "$work/deps"
sed -n 's/^ *"command": //p; s/^ *"file": //p' "$build/compile_commands.json" | paste - - > "$work/commands"
rules=$(cat .clang-tidy scripts/check_argument_order.py; clang-tidy --version)
export cache build work rules
check_one() {
  # Boost 1.74 does not know that Clang has coroutines.
  local coroutines=(--extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1)
  # Of each object file, the first listed dependency is the source, the others are its headers.
  inputs=$(awk -v root="$PWD/" -v source="$PWD/$1" '
    /#deps/ { first = 1; next }
    NF == 1 { if (first) { wanted = ($1 == source); first = 0 }
              if (wanted && index($1, root) == 1) print $1 }' "$work/deps" | sort -u)
  [ -n "$inputs" ] || inputs=$PWD/$1
  key=$( (echo "$rules"; grep -F "\"$PWD/$1\"" "$work/commands" || true; echo "$inputs"
          echo "$inputs" | xargs cat) | sha256sum | cut -c1-40)
  [ -e "$cache/$key" ] && exit 0
  if output=$(clang-tidy -p "$build" --quiet "${coroutines[@]}" "$1" 2>/dev/null) &&
      output=$(scripts/check_argument_order.py "$build" "$1" 2>&1); then
    touch "$cache/$key"
  else
    echo "$output"
    exit 1
  fi
}
export -f check_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check_one {}'
echo "formatter and linter: clean"
