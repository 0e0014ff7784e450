#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Run it after the build of the deploy file and review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$here")
cd "$here/../.."
classes=target/review-2/classes
if [[ ! -f target/flaxfield.jar || ! -f $classes/Case$number.class ]]; then
    echo "build first: the command of deploy/service.toml, then review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d)
java -cp "$classes" -Drecord="$here/record.txt" -Dtemporary="$temporary" "Case$number" &
case_process=$!
trap 'kill "$case_process" 2>/dev/null' INT TERM
wait "$case_process"
status=$?
while kill -0 "$case_process" 2>/dev/null; do wait "$case_process"; status=$?; done
rm -rf "$temporary"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
