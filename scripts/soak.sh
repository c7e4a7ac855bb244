#!/usr/bin/env bash
# Runs the fault soak: scripts/soak.sh FIRST_SEED [COUNT [MILLISECONDS]]. Needs a finished build.
# A seed that fails leaves soak-SEED.log with its plan and the nodes' logs in the current directory.
set -uo pipefail
bin=$(cd "$(dirname "$0")/.." && pwd)/build/bin
first=${1:?give the first seed}
failed=()
for ((seed = first; seed < first + ${2:-1}; ++seed)); do
  SNIPEPLANK_SOAK_LARGE=1 SNIPEPLANK_SOAK_FIRST_SEED=$seed SNIPEPLANK_SOAK_SEEDS=1 SNIPEPLANK_SOAK_MS=${3:-20000} \
    "$bin/fault_soak_tests" -sg fault_soak -sn random_faults_break_no_promise || failed+=("$seed")
done
echo "failed seeds: ${failed[*]:-none}"
[ ${#failed[@]} -eq 0 ]
