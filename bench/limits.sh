#!/usr/bin/env bash
# The scheduler's own limits: CPU a task, by rate, by workers and by tasks in hand, one scheduler on one core, before
# stand-in workers whose tasks take hardly any work. usage: bench/limits.sh JAR OUT [rate|workers|hand|all]
set -euo pipefail
jar=$1; out=$2; what=${3:-all}
cd "$(dirname "$0")/.."
mkdir -p "$out"

# name, rate, workers, slots, work in ms, seconds
play() {
  cat > "$out/$1.toml" <<T
seed = 1
length = "$6s"
[fleet]
workers = $3
slots = $4
queue = 100000
connections = 100000
reports = "answers"
tells_start = false
[schedulers]
count = 1
descriptors = 20000
pin_from = 2
[profile.p]
work = "$5ms"
spread = 0.3
due = "$(($5 * 3 + 1000))ms"
expiry = "$(($5 * 4 + 3000))ms"
[load]
rate_per_s = $2
connections = 12000
T
  java -Xmx2g -jar target/gingerspool.jar experiment "$out/$1.toml" --jar "$jar" --out "$out/$1" > "$out/$1.log" || true
  line=$(grep '  service' "$out/$1.log" || echo "  $(tail -1 "$out/$1.log")")
  echo "$1: rate $2/s, $3 workers, work $5 ms:$line"
}

if [ "$what" = rate ] || [ "$what" = all ]; then
  for r in 500 1000 2000 3000 4000; do play "rate-$r" $r 10 1000 1 8; done
fi
if [ "$what" = workers ] || [ "$what" = all ]; then
  for w in 10 100 1000; do play "workers-$w" 500 $w 50 20 8; done
fi
if [ "$what" = hand ] || [ "$what" = all ]; then
  for h in 100 1000 10000; do play "hand-$h" 1000 10 5000 $h 12; done
fi
