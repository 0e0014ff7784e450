#!/usr/bin/env bash
# Prints the processor time of the threads of running flaxfield processes on this machine, summed by thread name.
# Samples /proc until no such process is left, or until SECONDS have passed, so it can run alongside a run of the bench.
# It then reports the processor time of the real processes, not the time that the bench charges to simulated machines.
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
            # The thread name may contain blanks, so only the fields after its closing parenthesis are split.
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
