#!/usr/bin/env bash
# Shows where the threads of running flaxfield processes spend processor time on this machine, summed by thread name.
# Samples /proc until no such process is left (or SECONDS are over), so it can run beside a day of the bench: the
# times are then those of the real processes that play it, not the simulated machines' charge.
# Usage: tools/thread-time.sh [SECONDS]
set -euo pipefail
seconds=${1:-600}
samples=$(mktemp)
trap 'rm -f "$samples"' EXIT
ticks_per_second=$(getconf CLK_TCK)
end=$(( $(date +%s) + seconds ))
idle=0
seen=0

while (( $(date +%s) < end && idle < 10 )); do
    found=0
    for pid in $(pgrep -f 'flaxfield.jar serve' || true); do
        found=1
        seen=1
        for stat in "/proc/$pid/task/"*/stat; do
            # The name may hold blanks: what follows its closing parenthesis is split.
            sed -n "s|^\([0-9]*\) (\(.*\)) \(.*\)$|$pid\t\1\t\2\t\3|p" "$stat" 2> /dev/null || true
        done
    done >> "$samples"
    if (( seen )); then idle=$(( found ? 0 : idle + 1 )); fi
    sleep 0.5
done

awk -F '\t' -v hz="$ticks_per_second" '
    { split($4, field, " "); total[$1 "/" $2] = (field[12] + field[13]) / hz; name[$1 "/" $2] = $3; processes[$1] = 1 }
    END {
        for (thread in total) sum[name[thread]] += total[thread]
        for (process in processes) count++
        for (n in sum) printf "%8.2f s  %s\n", sum[n], n
        printf "%8d processes\n", count
    }' "$samples" | sort -rn
