#!/bin/bash
# The address of a server that has ended goes to a server of another service. The settings
# file tells the new service, with SIGHUP, but for WAY=plain.
HERE="$(cd "$(dirname "$0")" && pwd)"
. "$HERE/../standins2/common.sh"
rm -f "$LOGS"-*.txt
config
start "$WORLD" store -addr "$NET.9:8309" -config "$TMP/config.json"
sleep 0.3
for vm in "1 desk bp-a" "2 desk bp-b" "3 pay bp-a" "4 pay bp-b" "5 pay bp-c" "6 desk bp-c"; do
  set -- $vm
  settings "$1" "$2" "$3" true
  node "$1"
  server "$1" "$2" "$3" "i-$2-$1" "$NET.$1:8306"
  [ "$1" = 3 ] && ENDS=$STARTED
done
"$WORLD" await -ready "$NET.1:8302,$NET.2:8302,$NET.3:8302,$NET.4:8302,$NET.5:8302,$NET.6:8302" || cannot_run "the nodes are not ready"
sleep 3.5
for host in 1 2 3 4; do
  client "$host" pay.example /pay/1 POST 10 17
  client "$host" desk.example /desk/1 GET 10 17
done
sleep 4
note "server ends" "i-pay-3"
kill -KILL "$ENDS"
# reuse_after_s is 2.
sleep 2.5
if [ "$TROUBLE" = 0 ]; then
  note "a server of the same service gets the address" "i-pay-9"
  server 3 pay bp-a i-pay-9 "$NET.3:8306"
else
  note "a server of another service gets the address" "i-desk-9"
  if [ "${WAY:-settings}" = settings ]; then
    settings 3 desk bp-a false
    kill -HUP "${NODE_PID[3]}"
  fi
  server 3 desk bp-a i-desk-9 "$NET.3:8306"
fi
await_clients
"$WORLD" check-route -record "$RECORD" -routes desk.example=desk,pay.example=pay
