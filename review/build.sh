#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. Needs a JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
