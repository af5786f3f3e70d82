# Functions that start a small fleet of stand-ins and daemons on loopback: an
# entry, a model "cutplan" and a service "order-desk" with one runner each.
# Sets URL, CREDENTIAL and ADMIN (all admin addresses).  The workspace is
# "gebeya" with the classes plan (default), query and dispatch (not
# idempotent).
# usage: source test/fleet.sh; fleet_start BUILD BASE_PORT; ...; fleet_stop

fleet_run () {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  fleet_pids+=($!)
}

# Waits until URL answers with success; otherwise prints the logs and fails.
fleet_wait () {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return 0
    read -r -t 0.05 <> <(:) || true
  done
  echo "no answer from $1" >&2
  tail -n 5 "$fleet_dir"/*.log >&2
  return 1
}

fleet_documents () {
  local base=$1 hash
  hash=$(printf %s "$CREDENTIAL" | sha256sum | cut -d' ' -f1)
  mkdir -p "$fleet_dir/conf/contract" "$fleet_dir/conf/pool"
  cat >"$fleet_dir/conf/manifest.json" <<JSON
{"revision": 1, "contracts": {"gebeya": 1},
 "pools": {"cutplan": 1, "order-desk": 1},
 "entries": [{"instance": "entry-1", "address": "127.0.0.1:$((base + 1))",
              "zone": "bole"}]}
JSON
  cat >"$fleet_dir/conf/contract/gebeya.json" <<JSON
{"workspace": "gebeya", "revision": 1, "default_class": "plan",
 "retry_window_s": 600, "credentials": ["$hash"],
 "limits": {"requests_per_s": 1000, "tokens_per_s": 1000000,
            "concurrency": 1000},
 "classes": {
  "plan": {"tier": 0, "first_token_ms": 1300, "token_gap_ms": 30,
   "deadline_ms": 20000, "idempotent": true, "pool": "cutplan",
   "max_output_tokens": 256},
  "query": {"tier": 1, "first_token_ms": 2000, "token_gap_ms": 100,
   "deadline_ms": 20000, "idempotent": true, "pool": "order-desk",
   "max_output_tokens": 1},
  "dispatch": {"tier": 1, "first_token_ms": 2000, "token_gap_ms": 100,
   "deadline_ms": 20000, "idempotent": false, "pool": "order-desk",
   "max_output_tokens": 1}}}
JSON
  cat >"$fleet_dir/conf/pool/cutplan.json" <<JSON
{"pool": "cutplan", "revision": 1, "kind": "model", "runners": [
 {"instance": "runner-1", "address": "127.0.0.1:$((base + 2))",
  "zone": "bole"}]}
JSON
  cat >"$fleet_dir/conf/pool/order-desk.json" <<JSON
{"pool": "order-desk", "revision": 1, "kind": "service", "runners": [
 {"instance": "runner-2", "address": "127.0.0.1:$((base + 3))",
  "zone": "bole"}]}
JSON
  echo '{"index": 1, "instances": []}' >"$fleet_dir/conf/instances.json"
}

fleet_runner () {
  local build=$1 base=$2 n=$3 kind=$4 pool=$5
  fleet_run "engine-$n" "$build/standin_engine" --port $((base + 20 + n)) \
    --kind "$kind"
  # Accept the callers' own keys at once, without a confirm window.
  BASILDOCK_CONFIRM_WINDOW_MS=0 fleet_run "runner-$n" "$build/basildockd" --role sidecar \
    --instance "runner-$n" --zone bole \
    --peer-address "127.0.0.1:$((base + 1 + n))" \
    --platform-url "http://127.0.0.1:$base" --pool "$pool" \
    --engine-url "http://127.0.0.1:$((base + 20 + n))" \
    --admin-address "127.0.0.1:$((base + 30 + n))"
}

fleet_start () {
  local build=$1 base=$2
  fleet_dir=$(mktemp -d)
  fleet_pids=()
  CREDENTIAL=demo-secret
  URL=http://127.0.0.1:$((base + 10))
  ADMIN=127.0.0.1:$((base + 30)),127.0.0.1:$((base + 31)),127.0.0.1:$((base + 32))
  fleet_documents "$base"
  fleet_run platform "$build/standin_platform" --port "$base" \
    --dir "$fleet_dir/conf"
  fleet_runner "$build" "$base" 1 model cutplan
  fleet_runner "$build" "$base" 2 service order-desk
  BASILDOCK_TOKEN_KEY=$(printf '%064x' 1) fleet_run entry-1 \
    "$build/basildockd" --role entry --instance entry-1 --zone bole \
    --peer-address "127.0.0.1:$((base + 1))" \
    --http-address "127.0.0.1:$((base + 10))" \
    --platform-url "http://127.0.0.1:$base" \
    --admin-address "127.0.0.1:$((base + 30))"
  fleet_wait "$URL/readyz"
}

fleet_stop () {
  local pid
  for pid in "${fleet_pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${fleet_pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$fleet_dir"
}
