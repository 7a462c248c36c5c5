#!/usr/bin/env bash
# Writes deploy/classes.lst and deploy/system-classes.lst, the classes that a start of the scheduler and of the
# platform's programs needs: `build` makes archives of them that `run` maps.
# A stale list costs only time: what it lacks is loaded from the jar as before. Ports are the script's own.
# usage: bench/classes.sh, from the root, after a build
set -euo pipefail
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*"$/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
for i in 1 2; do
  cat > "$dir/node$i.json" <<J
{"name":"n","listen":"127.0.0.1:18099","discovery":"127.0.0.1:18098","management":"127.0.0.1:1809$((i + 4))",
 "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
 "known":{"seq":1,"whole":true,"hosts":[{"host":"w","dial":"127.0.0.1:18097","site":"a","class":"m","block":0,
 "health":"SERVING","share":1,"born_ms":0}]},
 "settings":{"profiles":[{"name":"p","effect":"safe","dueTimeMs":100,"expiryMs":5000}],
 "limits":{"mostAssignments":2,"maxOpen":900,"retryAfter":true,"maxRetryAfterMs":1000}}}
J
done
start() {
  # shellcheck disable=SC2086
  GW_CONFIG="$dir/node$1.json" TMPDIR="$dir" java $flags $2 -jar target/gingerspool.jar serve 2> /dev/null &
  until curl -s -f -o /dev/null "http://127.0.0.1:1809$(($1 + 4))/v1/readyz"; do sleep 0.05; done
}
start 1 ""; first=$!
start 2 "-XX:DumpLoadedClassList=$dir/list"; second=$!
curl -s -o /dev/null http://127.0.0.1:18099/healthz
curl -s -o /dev/null -d hi -H 'X-Correlation-Id: a1' http://127.0.0.1:18099/p/x
curl -s -o /dev/null -d '{"id":"a1","from":"w","state":"done","result":"x"}' http://127.0.0.1:18099/callback
curl -s -o /dev/null -X POST http://127.0.0.1:18096/v1/workers/w/suspend
curl -s -o /dev/null -X POST http://127.0.0.1:18096/v1/scheduler/drain
kill $first $second
wait $first $second || true
grep -v '^#' "$dir/list" > deploy/classes.lst
wc -l deploy/classes.lst
# The platform: all of it in one process, without what only the command line and the stand-ins load, then each of its
# programs by itself for a second.
flags=$(sed -n 's/^run = "java \(.*\) -cp .* scheduler"$/\1/p' deploy/system.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
program() {
  # shellcheck disable=SC2086
  TMPDIR="$dir" exec java $flags "-XX:DumpLoadedClassList=$dir/system-$1" -cp target/gingerspool.jar gingerspool.Main "$1"
}
cat > "$dir/settings.toml" <<T
NodeName = "n"
IpAddress = "127.0.0.1"
Zone = "a"
InternalPortRange = [17600,17615]
SeedNodes = ["127.0.0.1:18108"]
FirstStart = true
DataDirectory = "$dir/data"
HeartbeatIntervalMs = 600
[Zones]
a = "r"
[ListenAddresses]
FrontAddress = "127.0.0.1:18101"
ReadinessAddress = "127.0.0.1:18106"
ControlAddress = "127.0.0.1:18108"
[Limits]
DiskMb = 64
[ToleratedLosses]
Machines = 0
[Cloud]
Address = "127.0.0.1:18097"
RatePerS = 50.0
LagMs = 100
DutyPerS = 50.0
T
program platform > /dev/null 2>&1 &
wait $!
for one in control scheduler; do
  GINGERSPOOL_CONFIG="$dir/settings.toml" program "$one" > /dev/null 2>&1 & pid=$!
  sleep 2
  kill $pid
  wait $pid || true
done
cat "$dir/system-platform" "$dir/system-control" "$dir/system-scheduler" \
  | grep -v -E '^#|net/http|picocli|gingerspool/(standin|cli/(Platforms|Commands|Rigs))|jdk/internal/net' \
  | awk '!seen[$0]++' > deploy/system-classes.lst
wc -l deploy/system-classes.lst
