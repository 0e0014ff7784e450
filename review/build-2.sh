#!/usr/bin/env bash
# Compiles the stand-ins and the cases 4 to 8 of this review with the JDK alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
classes=target/review-2/classes
rm -rf "$classes"
mkdir -p "$classes"
sources=(review/platform-2/*.java)
for case in 4 5 6 7 8; do
    for source in review/$case/*.java; do
        if [[ -f $source ]]; then sources+=("$source"); fi
    done
done
javac -d "$classes" "${sources[@]}"
