#!/bin/bash
# Plays a case: play.sh CASE SITE RECORD SERVICE...
# SITE names the bounds, and each SERVICE a machine.
# It starts the store's stand-in, a node for each service and the driver, starts a node that has
# ended again, as the platform does, and ends all of them.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
case_name=$1 site=$2 record=$3
shift 3
world=target/review-world program=target/pollengauge
[ -x "$world" ] && [ -x "$program" ] || { echo 'build first: the deploy file, then review/build.sh' >&2; exit 2; }
dir=$(mktemp -d) || exit 2
pids=()

# node NUMBER runs a node and starts it again 0.4 s after it has ended.
node() {
  local child
  trap 'kill -KILL "$child" 2>/dev/null; exit 0' TERM
  while [ ! -e "$dir/stop" ]; do
    POLLENGAUGE_BOOT=$dir/settings-$1.json "$program" sidecar >> "$dir/node-$1.log" 2>&1 &
    child=$!
    echo "$child" > "$dir/pid-$1.new" && mv "$dir/pid-$1.new" "$dir/pid-$1"
    wait "$child"
    sleep 0.4
  done
}

finish() {
  trap - INT TERM
  touch "$dir/stop"
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$dir"/*.log "$KEEP_LOGS"/; fi
  rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

"$world" prepare "$dir" "$site" "$@" || exit 2
"$program" standin platform --addr "$(cat "$dir/store")" > "$dir/store.log" 2>&1 &
pids+=($!)
for i in $(seq $#); do
  node "$i" &
  pids+=($!)
done
timeout -k 1 100 "$world" drive "$case_name" "$dir" "$record"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
