#!/usr/bin/env bash
# Shows a node on a machine of the users' platform, against stand-ins of its store and of a server.
# Exits 0 only if each step held. Every process that it starts is ended by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}/bin
work=$(mktemp -d)
pids=()

finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
  [ "$status" -eq 0 ] || echo "demo: FAILED"
  exit "$status"
}
trap finish EXIT

fail() { echo "  failed: $*"; tail -n 15 "$work"/*.log; exit 1; }

start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids+=($!)
}

ready_address() {
  for _ in $(seq 300); do
    local line
    line=$(grep -m1 '^ready ' "$work/$1.log" || true)
    [ -n "$line" ] && { echo "$line" | cut -d' ' -f2; return; }
    sleep 0.1
  done
  return 1
}

free_port() { echo $((15000 + RANDOM % 16000)); }

put() { curl -sSf -m 10 -X PUT "$store/standin/item?Key=$1" -d "$2" > /dev/null; }

start store "$bin/standin_store"
start server "$bin/standin_server" --id i-1
store=$(ready_address store)
server=$(ready_address server)
front=127.0.0.1:$(free_port)
ready=127.0.0.1:$(free_port)
admin=$(free_port)
cat > "$work/boot.json" << END
{"Node": "front-1", "Ip": "127.0.0.1", "Region": "duluth", "Zone": "duluth-a", "Zones": {"duluth-a": "duluth"},
 "Listen": {"Front": "$front", "Readiness": "$ready", "Control": "127.0.0.1:$(free_port)"},
 "PortRange": [$admin, $admin], "Seeds": [], "Provider": {"Address": "$store"}}
END
SNIPEPLANK_SETTINGS=$work/boot.json start node "$bin/snipeplank"

echo
echo "A node on a machine of the users' platform"
echo "=========================================="
echo
echo "1. Without a configuration it says when to come back"
for _ in $(seq 100); do curl -s -m 5 -o /dev/null "$ready/api/readyz" && break; sleep 0.1; done
curl -s -m 5 -D "$work/headers" -o "$work/body" "$front/read/1" -H 'Host: shop.example' -H 'Attempt-Id: a1' || true
grep -q '^HTTP/1.1 503' "$work/headers" && grep -qi '^Retry-After' "$work/headers" || fail "$(cat "$work/headers")"
echo "  $(head -n1 "$work/headers" | tr -d '\r'), $(grep -i '^Retry-After' "$work/headers" | tr -d '\r'): $(cat "$work/body")"

echo "2. The operator publishes a configuration, a server registers, and the node serves"
put op/config '{"Version":1,"Routes":[{"Name":"r","Host":"shop.example","PathPrefix":"/stream/","Kind":"streaming","TimeoutMs":8000,"GoalMs":1000,"Priority":1,"Service":"s","MaxAttempts":1}],"Services":[{"Name":"s"}]}'
put servers/i-1 "{\"Service\":\"s\",\"Address\":\"$server\",\"Zone\":\"duluth-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}"
status=0
for i in $(seq 100); do
  status=$(curl -s -m 5 -o "$work/body" -w '%{http_code}' "$front/stream/1" -H 'Host: shop.example' -H "Attempt-Id: b$i" || true)
  [ "$status" = 200 ] && break
  sleep 0.1
done
[ "$status" = 200 ] && [ "$(grep -c '^id: ' "$work/body")" -eq 5 ] || fail "status $status: $(cat "$work/body")"
echo "  status 200, $(grep -c '^id: ' "$work/body") events, the last: $(grep '^data: ' "$work/body" | tail -n1)"

echo "3. The log tells how that request was decided"
grep '"event":"call"' "$work/node.log" | grep '"outcome":"answered"' > "$work/line" || fail "no line"
echo "  $(head -n1 "$work/line" | cut -c1-240)"
printf '\nEach step held.\n'
