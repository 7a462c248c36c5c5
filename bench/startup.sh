#!/usr/bin/env bash
# CPU time from start to the first 200 on /healthz, and peak resident size, of two jars in turn, on one core.
# usage: bench/startup.sh OLD.jar NEW.jar RUNS [ARGUMENTS AFTER serve]
set -euo pipefail
old=$1; new=$2; runs=$3; shift 3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*"$/\1/p' "$(dirname "$0")/../deploy/balancer.toml")
cat > "$dir/node.json" <<'J'
{"name":"n","listen":"127.0.0.1:18099","discovery":"127.0.0.1:18098","seed":"8c1f30d27a5be964",
 "limits":{"sockets":1024},"settings":{"profiles":[{"name":"p","effect":"safe","dueTimeMs":100,"expiryMs":5000}],
 "limits":{"mostAssignments":2,"maxOpen":900}}}
J
for _ in $(seq "$runs"); do
  for jar in "$old" "$new"; do
    GW_CONFIG="$dir/node.json" taskset -c 2 java $flags -jar "$jar" serve "$@" 2> /dev/null & pid=$!
    until curl -s -o /dev/null http://127.0.0.1:18099/healthz; do :; done
    cpu=$(cat /proc/$pid/task/*/schedstat | awk '{s += $1} END {print s / 1e6}')
    echo "$cpu $(awk '/VmHWM/ {print $2 / 1024}' /proc/$pid/status)" >> "$dir/$(basename "$jar")"
    kill -9 $pid; wait $pid 2> /dev/null || true
  done
done
for jar in "$old" "$new"; do
  sort -n "$dir/$(basename "$jar")" | awk -v name="$jar" '{c[NR] = $1; s += $1; q += $1 * $1; m += $2} END {
    sd = sqrt((q - s * s / NR) / (NR - 1))
    printf "%s: CPU ms median %.0f mean %.1f +- %.1f (95%%), peak MB mean %.1f, %d runs\n",
      name, c[int((NR + 1) / 2)], s / NR, 1.96 * sd / sqrt(NR), m / NR, NR }'
done
