# Functions for the scripts of the cases: starts stand-ins and nodes, and speaks HTTP with them.
# A script sources this file, and ends with `finish STATUS`. Addresses are loopback ones; every process
# that was started is ended by its id.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/review
node_program=$root/target/bin/snipeplank
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
work=$(mktemp -d)
trouble=${TROUBLE:-1}
pids=()
declare -A pid_of
nodes=()
declare -A front_of ready_of
seeds=()
: > "$record"

note() { echo "$(date +%H:%M:%S.%3N) $*" | tee -a "$record"; }

end_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap end_all EXIT

# Ends the script. 0: the rule held, 1: it was broken, 2: the case could not run.
finish() {
  note "exit $1"
  exit "$1"
}
cannot_run() {
  note "cannot run: $*"
  tail -n 5 "$work"/*.log >> "$record" 2> /dev/null || true
  finish 2
}

[ -x "$node_program" ] || cannot_run "build the deploy file first"
[ -x "$bin/standin_store" ] || cannot_run "run review/build.sh first"

# start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# Prints the address of a stand-in once it serves.
address_of() {
  for _ in $(seq 200); do
    local line
    line=$(grep -m1 '^ready ' "$work/$1.log" 2> /dev/null || true)
    [ -n "$line" ] && { echo "$line" | cut -d' ' -f2; return; }
    sleep 0.05
  done
  return 1
}

# Prints a port that nothing listens on, below the range of outgoing connections.
free_port() {
  local port
  for _ in $(seq 100); do
    port=$((12000 + RANDOM % 18000))
    (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null || { echo "$port"; return; }
  done
  return 1
}

# http ADDRESS METHOD TARGET HEADERS BODY_FILE: prints the whole answer. The connection is closed
# after it.
http() {
  local address=$1 method=$2 target=$3 headers=$4 body=${5:-/dev/null} connection
  exec {connection}<> "/dev/tcp/${address%:*}/${address#*:}" || return 1
  {
    printf '%s %s HTTP/1.1\r\nHost: shop.example\r\n%bConnection: close\r\n' \
      "$method" "$target" "$headers"
    printf 'Content-Length: %s\r\n\r\n' "$(stat -L -c %s "$body")"
    cat "$body"
  } >&"$connection"
  timeout 12 cat <&"$connection"
  exec {connection}>&-
}

# put KEY FILE: writes an item of the store.
put() {
  http "$store" PUT "/standin/item?Key=$1" 'Content-Type: application/octet-stream\r\n' "$2" \
    | head -n1 | grep -q ' 204 ' || cannot_run "the store did not take $1"
}
put_text() {
  printf '%s' "$2" > "$work/item"
  put "$1" "$work/item"
}

# start_store PROGRAM
start_store() {
  start store "$bin/$1"
  store=$(address_of store) || cannot_run "the store did not start"
}

# start_server ID [OPTION...]
start_server() {
  local id=$1
  shift
  start "$id" "$bin/standin_server" --id "$id" "$@"
}

# The complete entry of a server, as the platform's pages list its fields.
entry() {
  printf '{"Service":"%s","Address":"%s","Zone":"duluth-a","Version":"v1","Slots":6,"State":"ready","WarmupLeftMs":0,"Sequence":4,"born":1796500000000}' "$1" "$2"
}

# Status line of an answer that is read from standard input.
status_of() { head -n1 | tr -d '\r' | cut -d' ' -f2; }

# write_settings NAME NUMBER: settings of a machine of a small deployment, on its own loopback address.
write_settings() {
  local name=$1 ip=127.0.0.$((10 + $2))
  [ -n "${metrics_port:-}" ] || metrics_port=$(free_port)
  front_of[$name]=$ip:$(free_port)
  ready_of[$name]=$ip:$(free_port)
  seeds+=("\"$ip:$(free_port)\"")
  cat > "$work/$name.json" << END
{"Node": "$name", "Role": "entry", "MachineClass": "front", "Serves": ["front", "directory", "control"],
 "Ip": "$ip", "Zone": "duluth-a", "Region": "duluth", "Zones": {"duluth-a": "duluth"},
 "Listen": {"Front": "${front_of[$name]}", "Readiness": "${ready_of[$name]}",
            "Control": ${seeds[-1]}, "Directory": "$ip:$(free_port)"},
 "PortRange": [$metrics_port, $((metrics_port + 15))], "Seeds": [$(IFS=,; echo "${seeds[*]}")],
 "Bootstrap": true, "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100},
 "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
 "Bounds": {"ContactMs": 6000, "DrainMs": 4000, "GraceS": 8, "ConfigMs": 4000, "RetryRatio": 0.2,
            "RetryWindowS": 10, "RetrySlack": 52, "WarmupOvershoot": 1.5, "WarmupSlack": 3,
            "EvacuateMs": 5000, "RecoveryS": 12, "ttl_max_s": 5},
 "Provider": {"Address": "$store", "form": "read", "ReadsPerS": 2000, "HistoryS": 20,
              "ValueBytes": 1048576}}
END
  nodes+=("$name")
}

# start_node NAME: starts the program of the deploy file.
start_node() {
  (cd "$root" && SNIPEPLANK_SETTINGS=$work/$1.json exec "$node_program") >> "$work/$1.log" 2>&1 &
  pids+=($!)
  pid_of[$1]=$!
}

# Waits until a node says that it is ready; at most 10 s.
wait_ready() {
  for _ in $(seq 100); do
    [ "$(http "${ready_of[$1]}" GET /api/readyz '' 2> /dev/null | status_of)" = 200 ] && return
    sleep 0.1
  done
  cannot_run "$1 is not ready"
}
