#!/bin/bash
# A node gets SIGTERM while the server beside it makes calls for the requests that it runs.
HERE="$(cd "$(dirname "$0")" && pwd)"
. "$HERE/../standins2/common.sh"
rm -f "$LOGS"-*.txt
cat >"$TMP/config.json" <<JSON
{"version":"r7","routes":[
 {"name":"r-file","host":"file.example","path_prefix":"/file/","kind":"unsafe","timeout_s":5,"target_latency_s":1.2,"priority":0,"service":"filing","attempts":2},
 {"name":"r-look","host":"look.example","path_prefix":"/look/","kind":"safe","timeout_s":5,"target_latency_s":1.2,"priority":2,"service":"tracker","attempts":2}],
 "services":[{"name":"filing","health_check_path":"/health","max_connections":400,"protocol":"h1","tls":false},{"name":"tracker","health_check_path":"/health","max_connections":400,"protocol":"h1","tls":false}],
 "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"base_version":"r5"}
JSON
start "$WORLD" store -addr "$NET.9:8309" -config "$TMP/config.json"
sleep 0.3
for vm in "1 filing bp-a" "2 filing bp-b" "3 tracker bp-a" "4 tracker bp-b"; do
  set -- $vm
  settings "$1" "$2" "$3" true
  node "$1"
  flags="-slots 100 -work 900ms"
  [ "$2" = filing ] && flags="-slots 100 -work 78ms -calls 5 -call-host look.example -outbound $NET.$1:8304"
  server "$1" "$2" "$3" "i-$2-$1" "$NET.$1:8306" $flags
done
"$WORLD" await -ready "$NET.1:8302,$NET.2:8302,$NET.3:8302,$NET.4:8302" || cannot_run "the nodes are not ready"
sleep 3.5
for host in 1 2 3 4; do client "$host" file.example /file/1 POST 8 14; done
sleep 5
if [ "$TROUBLE" != 0 ]; then
  note "SIGTERM" "vm-1"
  kill -TERM "${NODE_PID[1]}"
  for i in $(seq 60); do kill -0 "${NODE_PID[1]}" 2>/dev/null || break; sleep 0.1; done
  kill -KILL "${NODE_PID[1]}" 2>/dev/null
  note "node has ended" "vm-1"
  sleep 0.5
  settings 1 filing bp-a false
  node 1
fi
await_clients
"$WORLD" check-lost -record "$RECORD" -from vm-1,i-filing-1 -grace 6 -timeout 5
