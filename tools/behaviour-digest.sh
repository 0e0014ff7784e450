#!/usr/bin/env bash
# Runs the seeded simulations and writes a digest of the controllers' messages in each run; see BehaviourDigest.kt in the
# test sources. Needs the dependencies in Maven's local repository. Usage: tools/behaviour-digest.sh OUT [SUITE|all] [THREADS] [TRACES]
set -euo pipefail
[[ $# -ge 1 ]] || { echo "usage: $0 OUT [SUITE|all] [THREADS] [TRACES]" >&2; exit 2; }
out=$(realpath "$1")
cd "$(dirname "$0")/.."

# The test class path as the compiler plugin reports it; an offline repository may lack the dependency plugin.
class_path=$(mvn -o -X test-compile | sed -n 's/^.* testPath = \[\(.*\)\]$/\1/p' | sed -n '1{s/, /:/g;p}')
[[ -n $class_path ]] || { echo "Maven failed to compile the tests or reported no test class path" >&2; exit 1; }

# Makes all identity hash codes equal; otherwise the order of a HashSet of plain objects differs between processes.
exec java -XX:+UnlockExperimentalVMOptions -XX:hashCode=2 -cp "$class_path" flaxfield.digest.BehaviourDigestKt "$out" "${2:-all}" "${3:-1}" "${@:4:1}"
