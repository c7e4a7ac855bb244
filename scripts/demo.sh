#!/usr/bin/env bash
# Shows the system at work on loopback: two regions, two entry nodes each. Exits 0 only if each step
# held. Every process that it starts is ended by its id.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
bin=$build/bin
work=$(mktemp -d)
pids=()

finish() {
  status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  # A node ends when nothing is in flight; one that does not within 5 s is ended at once.
  for _ in $(seq 50); do
    running=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2> /dev/null && running=1; done
    [ "$running" -eq 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
  [ "$status" -eq 0 ] || echo "demo: FAILED"
  exit "$status"
}
trap finish EXIT

fail() {
  echo "  failed: $*"
  for log in "$work"/node-*.log; do
    echo "--- last lines of $(basename "$log")"
    tail -n 15 "$log"
  done
  exit 1
}

step() { printf '\n%s. %s\n' "$1" "$2"; }

# start NAME PROGRAM ARGUMENTS: starts a program in the background, its output in NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids+=($!)
  declare -g "pid_${name//-/_}=$!"
}

# ready_address NAME: waits for the line `ready <address>` of a stand-in.
ready_address() {
  for _ in $(seq 300); do
    local line
    line=$(grep -m1 '^ready ' "$work/$1.log" || true)
    [ -n "$line" ] && { echo "$line" | cut -d' ' -f2; return; }
    sleep 0.1
  done
  return 1
}

# free_port: a port below the range that the kernel gives to outgoing connections.
free_port() {
  local port
  for _ in $(seq 100); do
    port=$((15000 + RANDOM % 16000))
    if ! grep -qx "$port" "$work/ports" 2> /dev/null && ! (: < "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
      echo "$port" >> "$work/ports"
      echo "$port"
      return
    fi
  done
  return 1
}

# field NAME: value of a string or number field of the JSON document on standard input.
field() { sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n1; }

# request ARGUMENTS: curl with a bound; writes headers and body to files, prints the status.
request() { curl -sS -m 60 -D "$work/headers" -o "$work/body" -w '%{http_code}' "$@" || true; }

request_id() { sed -n 's/^snipeplank-request-id: *\([^[:space:]]*\).*/\1/ip' "$work/headers"; }

if [ -z "${SNIPEPLANK_DEMO_SKIP_BUILD:-}" ]; then
  echo "Installing the declared packages and building (this takes some minutes the first time)"
  scripts/install-packages.sh
  cmake -S . -B "$build" -G Ninja > /dev/null
  cmake --build "$build" --target snipeplank snipeplankctl standin_engine standin_service \
    standin_platform standin_store standin_server > "$work/build.log" || { tail -n 30 "$work/build.log"; exit 1; }
fi

# --- configuration ---------------------------------------------------------------------------
mkdir -p "$work/config/sections"
cat > "$work/fleet" << 'END'
regions:
  salzkammer: [salzkammer-a]
  ennstal: [ennstal-a]
links:
  - between: [salzkammer, ennstal]
    delay_ms: 1
    megabits_per_second: 2000
    spill_share: 0.25
weight_store:
  region: salzkammer
  megabits_per_second: 400
routing:
  policy: adaptive
  weights:
    latency: 1
    cost: 0.2
    away: 0.5
END
cat > "$work/services" << 'END'
services:
  drafting:
    kind: model
    residency: free
    deadline_ms: 60000
    engine:
      checks_fencing: true
      resumes_streams: true
  booking:
    kind: plain
    residency: bound
    non_idempotent_methods: [POST]
    ticket: required
    not_run_statuses: [429, 503]
END
{
  printf 'version: 1\nsections:\n'
  for section in fleet services; do
    hash=$(sha256sum "$work/$section" | cut -d' ' -f1)
    cp "$work/$section" "$work/config/sections/$hash.yaml"
    printf '  - name: %s\n    hash: %s\n' "$section" "$hash"
  done
} > "$work/config/manifest.yaml"

# --- processes -------------------------------------------------------------------------------
start platform "$bin/standin_platform" --config_dir "$work/config"
regions=(salzkammer ennstal)
for region in "${regions[@]}"; do
  start "engine-$region" "$bin/standin_engine" --name engine --token_ms 10
  start "booking-$region" "$bin/standin_service" --name "ledger-$region"
done
platform=$(ready_address platform)
hosts=""
declare -A engine booking caller admin
for region in "${regions[@]}"; do
  engine[$region]=$(ready_address "engine-$region")
  booking[$region]=$(ready_address "booking-$region")
  for pair in "drafting ${engine[$region]}" "booking ${booking[$region]}"; do
    hosts+="{\"address\":\"${pair#* }\",\"kind\":\"upstream\",\"service\":\"${pair% *}\",\"region\":\"$region\",\"zone\":\"$region-a\",\"state\":\"live\"},"
  done
  for i in 1 2; do
    node=$region-$i
    caller[$node]=127.0.0.1:$(free_port)
    admin[$node]=127.0.0.1:$(free_port)
    peer=127.0.0.1:$(free_port)
    hosts+="{\"address\":\"$peer\",\"kind\":\"entry\",\"service\":\"\",\"region\":\"$region\",\"zone\":\"$region-a\",\"state\":\"live\"},"
    cat > "$work/$node.yaml" << END
node:
  caller_address: ${caller[$node]}
  peer_address: $peer
  admin_address: ${admin[$node]}
  region: $region
  zone: $region-a
platform:
  config_service: [$platform]
  host_list: $platform
fleet:
  keys: [00112233445566778899aabbccddeeff]
END
  done
done
curl -sS -m 10 -X PUT "$platform/standin/hosts" -d "{\"hosts\":[${hosts%,}]}"
nodes=(salzkammer-1 salzkammer-2 ennstal-1 ennstal-2)
for node in "${nodes[@]}"; do
  start "node-$node" "$bin/snipeplank" --settings "$work/$node.yaml"
done

echo "The snipeplank demo: what happened"
echo "=================================="
step 1 "Four entry nodes in two regions start and become ready"
for node in "${nodes[@]}"; do
  ready=0
  for _ in $(seq 300); do
    [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "${admin[$node]}/readyz")" = 200 ] && { ready=1; break; }
    sleep 0.1
  done
  [ "$ready" -eq 1 ] || fail "$node did not become ready"
  echo "  $node serves callers on ${caller[$node]}"
done

step 2 "A caller asks which entry host to use"
# Each node needs a moment to learn of the other one.
for _ in $(seq 300); do
  curl -sS -m 5 -o "$work/entry" "${caller[salzkammer-1]}/v1/entry-points?service=drafting&home=salzkammer" || true
  grep -q "${caller[salzkammer-1]}" "$work/entry" && grep -q "${caller[salzkammer-2]}" "$work/entry" && break
  sleep 0.1
done
grep -q "${caller[salzkammer-1]}" "$work/entry" && grep -q "${caller[salzkammer-2]}" "$work/entry" ||
  fail "the answer does not name both nodes of the region: $(cat "$work/entry")"
entry=$(sed -n 's/.*"entry_points":\["\([^"]*\)".*/\1/p' "$work/entry")
echo "  answer: $(cat "$work/entry")"
echo "  the caller takes the first: $entry"

step 3 "One model answer is streamed"
body='{"model":"drafting","messages":[{"role":"user","content":"Draft the firing schedule of kiln 7."}],"max_tokens":40,"stream":true}'
status=$(request -N "$entry/v1/chat/completions" -H 'Content-Type: application/json' -d "$body")
[ "$status" = 200 ] || fail "status $status: $(cat "$work/body")"
cp "$work/body" "$work/streamed"
stream_id=$(request_id)
curl -sS -m 60 -o "$work/expected" "${engine[salzkammer]}/v1/chat/completions" -d "$body"
cmp -s "$work/streamed" "$work/expected" || fail "the stream differs from the engine's own answer"
echo "  $(grep -c '^id: ' "$work/streamed") tokens, $(stat -c %s "$work/streamed") bytes, equal to the engine's own answer byte by byte"
echo "  request id $stream_id"

step 4 "One slot is booked with a ticket, and the call is repeated at the other node"
status=$(request "$entry/v1/tickets" -d '{"service":"booking"}')
[ "$status" = 200 ] || fail "no ticket, status $status: $(cat "$work/body")"
ticket=$(field ticket < "$work/body")
book='{"booking_id":"order-4711","slot":"kiln-7 Monday"}'
status=$(request "$entry/booking/slots" -H "Idempotency-Key: $ticket" -d "$book")
[ "$status" = 201 ] || fail "not booked, status $status: $(cat "$work/body")"
cp "$work/body" "$work/booked"
echo "  booked: $(cut -c1-100 "$work/booked")"
other=${caller[salzkammer-1]}
[ "$other" != "$entry" ] || other=${caller[salzkammer-2]}
status=$(request "$other/booking/slots" -H "Idempotency-Key: $ticket" -d "$book")
[ "$status" = 201 ] && cmp -s "$work/body" "$work/booked" || fail "the repeat got status $status: $(cat "$work/body")"
executions=$(curl -sS -m 10 "${booking[salzkammer]}/standin/executions")
[ "$executions" = '{"order-4711":1}' ] || fail "executions: $executions"
echo "  the repeat at $other got the same answer; executions at the ledger: $executions"

step 5 "A booking for another region is refused, with the reason"
status=$(request "$entry/booking/slots" -H "Idempotency-Key: $ticket" -H 'Snipeplank-Home: ennstal' -d "$book")
reason=$(field reason < "$work/body")
executed=$(field executed < "$work/body")
[ "$reason" = wrong_region ] && [ "$executed" = no ] || fail "status $status: $(cat "$work/body")"
echo "  status $status, reason $reason, executed: $executed"
echo "  remedy: $(field remedy < "$work/body")"

step 6 "The entry node in use is killed, and another one serves"
killed=""
for node in salzkammer-1 salzkammer-2; do
  [ "${caller[$node]}" = "$entry" ] && killed=$node
done
variable=pid_node_${killed//-/_}
kill -KILL "${!variable}"
wait "${!variable}" 2> /dev/null || true
for _ in $(seq 300); do
  curl -sS -m 5 -o "$work/entry" "$other/v1/entry-points?service=drafting&home=salzkammer" || true
  grep -q "$entry" "$work/entry" || break
  sleep 0.1
done
grep -q "$entry" "$work/entry" && fail "the killed node is still an entry point: $(cat "$work/entry")"
echo "  $killed was killed; $other now answers: $(cat "$work/entry")"
status=$(request -N "$other/v1/chat/completions" -H 'Content-Type: application/json' -d "$body")
[ "$status" = 200 ] && cmp -s "$work/body" "$work/expected" || fail "status $status: $(head -c 300 "$work/body")"
served_id=$(request_id)
echo "  $other served the same request whole"

step 7 "The operator asks how that request was decided"
"$bin/snipeplankctl" explain "$served_id" > "$work/explained" 2>&1 ||
  fail "snipeplankctl explain $served_id: $(cat "$work/explained")"
[ -s "$work/explained" ] || fail "snipeplankctl explain $served_id printed nothing"
echo "  snipeplankctl explain $served_id"
sed 's/^/    /' "$work/explained"

printf '\nEach step held.\n'
