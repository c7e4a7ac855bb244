#!/usr/bin/env bash
# An item of another writer stands at the end of a page of the store's answer. All nodes are killed
# and start again.
set -uo pipefail
. "$(dirname "$0")/../lib.sh"
recovery_s=12

start_store paging_store
start_server i-1
start_server i-2
put_text op/config '{"Version":1,"Routes":[{"Name":"booking","Host":"shop.example","PathPrefix":"/booking/","Kind":"non_idempotent","TimeoutMs":8000,"GoalMs":500,"Priority":2,"Service":"ledger","MaxAttempts":1,"Sticky":false,"Resumable":false,"AllowedRegions":[]}],"Services":[{"Name":"ledger","HealthPath":"/healthz","MaxConnections":96,"WarmupS":0,"WarmupPerS":0}],"Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}'
put_text servers/i-1 "$(entry ledger "$(address_of i-1)")"
put_text servers/i-2 "$(entry ledger "$(address_of i-2)")"
for number in 1 2; do
  write_settings "front-$number" "$number"
  start_node "front-$number"
done
for node in "${nodes[@]}"; do wait_ready "$node"; done
sleep 1

printf 'slot 7' > "$work/body"
sent=0
# book COUNT: sends bookings to the nodes in turn, and counts the served ones.
book() {
  served=0
  for i in $(seq "$1"); do
    sent=$((sent + 1))
    local node=${nodes[$((sent % 2))]} id status
    id=$(printf 'b%07x' "$sent")
    status=$(http "${front_of[$node]}" POST "/booking/$sent" "Attempt-Id: $id\r\nDeadline-Ms: 8000\r\n" "$work/body" 2> /dev/null | status_of)
    note "sent $id to $node, answered ${status:-nothing}"
    [ "$status" = 200 ] && served=$((served + 1))
    sleep 0.1
  done
}

book 20
note "before: $served of 20 bookings were served"
[ "$served" -ge 15 ] || cannot_run "too few bookings were served at the beginning"

if [ "$trouble" != 0 ]; then
  head -c 1048576 /dev/urandom > "$work/foreign"
  put 'servers/edge%26test' "$work/foreign"
  note "another writer put 1,048,576 bytes that are no entry under the key servers/edge&test"
  sleep 1
  book 10
  note "with that item: $served of 10 bookings were served"
fi

note "final fault: all processes of the system are killed"
for node in "${nodes[@]}"; do kill -KILL "${pid_of[$node]}"; done
sleep 0.6
for node in "${nodes[@]}"; do start_node "$node"; done
note "they are back"
sleep "$recovery_s"
note "$(http "$store" GET /standin/pages '' | tail -n1)"
book 40
note "more than $recovery_s s after the machines were back: $served of 40 bookings were served"
for node in "${nodes[@]}"; do
  note "$node is ready: $(http "${ready_of[$node]}" GET /api/readyz '' | status_of)"
done
[ $((served * 4)) -ge 40 ] && finish 0
finish 1
