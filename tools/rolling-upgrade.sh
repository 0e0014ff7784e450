#!/usr/bin/env bash
# Replaces controllers of one build by those of another on loopback, and fails if a job or a record is lost; see
# RollingUpgrade.kt in the test sources. Each directory contains flaxfield.jar and flaxfield-operator.jar of a build.
# Needs the dependencies in Maven's local repository. Usage: tools/rolling-upgrade.sh FROM_DIR TO_DIR rolling|restart
set -euo pipefail
[[ $# -eq 3 ]] || { echo "usage: $0 FROM_DIR TO_DIR rolling|restart" >&2; exit 2; }
from=$(realpath "$1")
to=$(realpath "$2")
cd "$(dirname "$0")/.."

# The test class path as the compiler plugin reports it; an offline repository may lack the dependency plugin.
class_path=$(mvn -o -X test-compile | sed -n 's/^.* testPath = \[\(.*\)\]$/\1/p' | sed -n '1{s/, /:/g;p}')
[[ -n $class_path ]] || { echo "Maven failed to compile the tests or reported no test class path" >&2; exit 1; }
exec java -cp "$class_path" flaxfield.upgrade.RollingUpgradeKt "$from" "$to" "$3"
