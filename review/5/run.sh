#!/bin/bash
# The last heartbeat of a crashed server arrives after the next server at its address has
# had its leaving acknowledged.
HERE="$(cd "$(dirname "$0")" && pwd)"
. "$HERE/../standins2/common.sh"
rm -f "$LOGS"-*.txt
config
start "$WORLD" store -addr "$NET.9:8309" -config "$TMP/config.json"
sleep 0.3
start "$WORLD" proxy -listen "$NET.1:8307" -to "$NET.1:8306" -folder "$TMP" -delay 5500ms -record "$RECORD"
for vm in "1 pay bp-a 8307" "2 pay bp-b 8306" "3 desk bp-a 8306"; do
  set -- $vm
  settings "$1" "$2" "$3" true
  node "$1"
  server "$1" "$2" "$3" "i-$2-$1" "$NET.$1:$4" -work 400ms
  [ "$1" = 1 ] && CRASHES=$STARTED
done
"$WORLD" await -ready "$NET.1:8302,$NET.2:8302,$NET.3:8302" || cannot_run "the nodes are not ready"
sleep 3.5
for host in 1 2 3; do
  client "$host" pay.example /pay/1 POST 10 20
  client "$host" fee.example /fee/1 GET 5 20
done
sleep 3
if [ "$TROUBLE" = 0 ]; then
  sleep 1.5
else
  : >"$TMP/hold"
  for i in $(seq 60); do [ -e "$TMP/held" ] && break; sleep 0.05; done
  [ -e "$TMP/held" ] || cannot_run "no heartbeat was held"
  rm -f "$TMP/hold"
fi
note "server crashes" "i-pay-1"
kill -KILL "$CRASHES"
sleep 0.5
server 1 pay bp-a i-pay-5 "$NET.1:8307" -work 400ms -leave-first -stay 6s
LEAVES=$STARTED
sleep 2.5
kill -USR1 "$LEAVES"
await_clients
"$WORLD" check-drain -record "$RECORD" -id i-pay-5 -drain 2 -stable 3
