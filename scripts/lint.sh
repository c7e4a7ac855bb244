#!/usr/bin/env bash
# Checks formatting and runs the linter over every source file that the build compiles.
# With --fix, formats the files in place instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.hpp' '*.cpp' | grep -v generated | sort -u)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
build=${BUILD_DIR:-build}
# Results are kept per content of the file, its headers and the rules, so a rerun checks only what changed.
cache=${XDG_CACHE_HOME:-$HOME/.cache}/snipeplank-lint
mkdir -p "$cache"
export cache build
headers_hash=$(cat .clang-tidy "${files[@]}" | grep -E '^(#include|#define|class|struct|enum|    virtual|[A-Z])' | sha256sum | cut -c1-16)
export headers_hash
check_one() {
  key=$( (cat "$1" .clang-tidy; echo "$headers_hash") | sha256sum | cut -c1-32)
  [ -e "$cache/$key" ] && exit 0
  if output=$(clang-tidy -p "$build" --quiet "$1" 2>/dev/null); then
    touch "$cache/$key"
  else
    echo "$output"
    exit 1
  fi
}
export -f check_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check_one {}'
echo "formatter and linter: clean"
