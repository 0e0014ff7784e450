#!/usr/bin/env bash
# Compares two behaviour digests row by row, and prints the rows that differ. Rows are matched by suite, seed and kind;
# keys of the first file that have been renamed since are mapped by digest-keys.tsv. Exit status 1 if any row differs.
# Usage: tools/digest-compare.sh OLD NEW
set -euo pipefail
export LC_ALL=C
[[ $# -eq 2 ]] || { echo "usage: $0 OLD NEW" >&2; exit 2; }
keys=$(dirname "$0")/digest-keys.tsv

renamed() {
    awk -v keys="$keys" '
        BEGIN { while ((getline line < keys) > 0) if (line !~ /^#/ && split(line, names, "\t") == 2) new[names[1]] = names[2] }
        { key = $1 " " $3; if (key in new) { split(new[key], parts, " "); $1 = parts[1]; $3 = parts[2] } print }' "$1"
}

differences=$(diff <(renamed "$1" | sort) <(renamed "$2" | sort) || true)
[[ -z $differences ]] || { echo "$differences"; exit 1; }
echo "$(wc -l < "$2") rows equal"
