#!/usr/bin/env bash
# Lists the names that leave the process, and checks that a list made from an earlier version still holds.
#
#   tools/outer-names.sh list [ROOT]         prints the names found in the sources below ROOT (default: this repository)
#   tools/outer-names.sh check LIST [ROOT]   prints each name of LIST that the sources no longer have; exit status 1 if any
#
# A name is printed as "category<TAB>name":
#   literal   a string literal without blanks in the main sources: fields and values of messages and stored records,
#             state keys, paths, settings, flags, environment variables, metrics, labels, file names
#   template  such a literal with values put in, such as state keys and URLs
#   metric    names of metrics
#   enum      the values, in order, of an enum that is written out by name or by position ($written_enums)
#   proto     services, calls, messages and fields of the operators' interface, with their numbers
#   schema    keys of the fleet file's JSON schema
#   deploy    keys and arguments in deploy/
# Log lines and texts for people are not names. A process of an earlier build must understand all of these, so that
# controllers can be replaced one after the other.
set -euo pipefail
export LC_ALL=C

# Enums whose values are stored, sent, printed for operators, or labels of metrics. A renamed enum is renamed here too.
written_enums='DrainPhase ExitCode HeartbeatCoverage MachineHealth MachinePhase RepeatPolicy RequestKind UnavailabilityReason WriteCause ZoneState'
here=$(cd "$(dirname "$0")/.." && pwd)

usage() {
    sed -n '2,5s/^# \{0,1\}//p' "$0" >&2
    exit 2
}

main_sources() { find "$1/src/main/kotlin" -name '*.kt' -print0; }

# String literals outside comments, one a line, without quotes.
literals() {
    main_sources "$1" | xargs -0 sed -E 's@^[[:space:]]*(//|/?\*).*$@@' | grep -oE '"([^"\\]|\\.)*"' | sed -E 's/^"(.*)"$/\1/'
}

# The values of each written enum on one line. They end at a lone semicolon or at the closing brace.
enums() {
    main_sources "$1" | xargs -0 awk -v wanted=" $written_enums " '
        FNR == 1 { inside = 0 }
        { line = $0; sub(/\/\/.*$/, "", line) }
        line ~ /^[[:space:]]*(\/?\*)/ { next }
        !inside && match(line, /enum class [A-Za-z]+/) {
            name = substr(line, RSTART + 11, RLENGTH - 11); values = ""; inside = 1; body = 0
        }
        inside {
            if (!body) {
                if ((at = index(line, "{")) == 0) next
                line = substr(line, at + 1); body = 1
            }
            done = line ~ /;[[:space:]]*$/ || line ~ /^[[:space:]]*}/ || line ~ /}[[:space:]]*$/
            gsub(/\([^()0-9]*[^()]*[^()0-9]+[^()]*\)/, "", line)
            while (match(line, /[A-Z][A-Z0-9_]*(\([0-9]+\)|[ ,;}({]|$)/)) {
                value = substr(line, RSTART, RLENGTH); gsub(/[ ,;}{]|\($/, "", value); values = values " " value
                line = substr(line, RSTART + RLENGTH)
            }
            if (done) { if (index(wanted, " " name " ")) print substr(values, 2); inside = 0 }
        }'
}

proto() {
    awk '
        { sub(/\/\/.*$/, "") }
        /^package|^option/ { gsub(/[;"]/, ""); $1 = $1; print; next }
        match($0, /(service|message|enum) [A-Za-z]+/) { scope = substr($0, RSTART, RLENGTH); print scope; next }
        match($0, /rpc .*\)/) { print scope ": " substr($0, RSTART, RLENGTH); next }
        match($0, /[A-Za-z_.0-9<>, ]+ = [0-9]+/) {
            field = substr($0, RSTART, RLENGTH); sub(/^ +/, "", field); print scope ": " field
        }' "$1"/src/main/proto/flaxfield/operator/v1/*.proto
}

schema_keys() {
    grep -hoE '"[A-Za-z$_][A-Za-z0-9$_-]*"[[:space:]]*:' "$1"/src/main/resources/schema/*.json | tr -d '": '
}

deploy() {
    grep -hoE '^[A-Za-z._-]+ *=|"[a-z_]+" *:|-[A-Za-z-][^ "]*|[A-Za-z._/-]+\.(jar|jsa)' "$1"/deploy/* | tr -d '"' | sed 's/ *[=:]$//'
}

list() {
    {
        literals "$1" | grep -E '^[^[:space:]$\\]+$' | grep -E '[A-Za-z]' | sed 's/^/literal\t/' || true
        literals "$1" | grep -E '^[^[:space:]]*\$[^[:space:]]*$' | grep -E '[/:=?&_-]' | grep -vE '^event=' |
            sed -E 's/\$\{[^}]*\}/{}/g; s/\$[A-Za-z]+/{}/g; s/^/template\t/' || true
        literals "$1" | grep -oE 'flaxfield_[a-z_]+' | sed 's/^/metric\t/'
        enums "$1" | sed 's/^/enum\t/'
        proto "$1" | sed 's/^/proto\t/'
        schema_keys "$1" | sed 's/^/schema\t/'
        deploy "$1" | sed 's/^/deploy\t/'
    } | grep -vE $'^literal\t(event=|flaxfield\\.[a-z]+\\.[A-Z])' | sort -u
}

case "${1:-}" in
    list)
        (($# <= 2)) || usage
        list "${2:-$here}"
        ;;
    check)
        (($# == 2 || $# == 3)) || usage
        missing=$(comm -23 <(sort -u "$2") <(list "${3:-$here}"))
        [[ -z $missing ]] || { echo "$missing"; exit 1; }
        ;;
    *) usage ;;
esac
