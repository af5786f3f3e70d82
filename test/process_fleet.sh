# Functions that start, stop and query a fleet of real processes on loopback,
# for tests that kill and pause them.  Sourced by test/check_failures and
# bench/soak.
#
# The fleet: ENTRIES entries, runners 1 to MODELS of the pool "cutplan", then
# SERVICES runners of the pool "order-desk".  The workspace is "gebeya".
# Process names: platform, entry-N, runner-N, engine-N.

ENTRIES=2 MODELS=2 SERVICES=1
SLOTS=2 TOKEN_US=20000 ORDER_US=20000
DEADLINE_MS=20000 QUICK_MS=2000
ENTRY_FLAGS=() RUNNER_FLAGS=() SCHEME=http
declare -A pf_pid
pf_pids=()
export BASILDOCK_TOKEN_KEY
BASILDOCK_TOKEN_KEY=$(printf '%064x' 7)

pf_pause () { read -r -t "$1" <> <(:) || true; }

# Picks a range of ports below the ephemeral range on which nothing listens.
pf_find_base () {
  local n at port
  for n in $(seq 0 26); do
    at=$((30000 + ($$ + n + RANDOM) % 27 * 100))
    for port in 0 {1..4} {11..14} {21..24} {31..45} {50..65} {71..85}; do
      (exec 3<>"/dev/tcp/127.0.0.1/$((at + port))") 2>/dev/null && continue 2
    done
    echo "$at"
    return 0
  done
  echo "no free range of ports" >&2
  return 1
}

# Repeats COMMAND until it succeeds, for at most LIMIT_S seconds.
pf_until () {
  local limit_s=$1 end
  shift
  end=$(($(date +%s%N) + limit_s * 1000000000))
  until "$@"; do
    [ "$(date +%s%N)" -gt "$end" ] && return 1
    pf_pause 0.02
  done
}

pf_start () {
  local name=$1
  shift
  "$@" >>"$dir/$name.log" 2>&1 &
  pf_pid[$name]=$!
  pf_pids+=($!)
}

# Whether PID is still a child of this shell; the number of an ended process
# may have been reused.  The file is read at once: between reads of single
# lines the kernel may generate it anew, with the lines at other offsets.
pf_owned () {
  local status
  { status=$(<"/proc/$1/status"); } 2>/dev/null || return 1
  [[ $status =~ $'\n'PPid:[[:space:]]+$BASHPID$'\n' ]]
}

# Whether a process still runs; an ended one stays a child (a zombie) until it
# is waited for.
pf_runs () {
  local status
  { status=$(<"/proc/${pf_pid[$1]}/status"); } 2>/dev/null || return 1
  [[ $status =~ $'\n'PPid:[[:space:]]+$BASHPID$'\n' ]] \
    && ! [[ $status =~ $'\n'State:[[:space:]]+Z ]]
}

pf_signal () {
  pf_owned "${pf_pid[$2]}" && kill "-$1" "${pf_pid[$2]}" 2>/dev/null
}

pf_gone () { ! pf_owned "${pf_pid[$1]}"; }

# Waits for a process to end; sets "status" to its exit status.
pf_wait_end () {
  status=none
  pf_until "$2" pf_gone "$1" || return 1
  wait "${pf_pid[$1]}" 2>/dev/null
  status=$?
}

pf_kill () {
  pf_signal KILL "$1"
  wait "${pf_pid[$1]}" 2>/dev/null
}

pf_stop_all () {
  local pid
  for pid in "${pf_pids[@]}"; do
    pf_owned "$pid" && kill -CONT "$pid" && kill -KILL "$pid"
  done 2>/dev/null
  for pid in "${pf_pids[@]}"; do wait "$pid" 2>/dev/null; done
  pf_pids=()
  pf_pid=()
}

pf_get () { curl -sf --max-time 2 -o /dev/null "$1"; }

pf_class () {
  echo "\"$1\": {\"tier\": $2, \"first_token_ms\": 1500," \
    "\"token_gap_ms\": 100, \"deadline_ms\": $3, \"idempotent\": $4," \
    "\"pool\": \"$5\", \"max_output_tokens\": 400}"
}

# Publishes contract and manifest with REVISION; the jq program FILTER modifies
# the contract first.
pf_documents () {
  local revision=$1 filter=${2:-.} hash i list=""
  hash=$(printf %s secret | sha256sum | cut -d' ' -f1)
  mkdir -p "$dir/conf/contract" "$dir/conf/pool"
  jq "$filter" >"$dir/conf/contract/gebeya.json" <<JSON
{"workspace": "gebeya", "revision": $revision, "default_class": "plan",
 "retry_window_s": 600, "credentials": ["$hash"],
 "limits": {"requests_per_s": 1000000, "tokens_per_s": 100000000,
  "concurrency": 1000000},
 "classes": {
  $(pf_class plan 0 "$DEADLINE_MS" true cutplan),
  $(pf_class batch 2 "$DEADLINE_MS" true cutplan),
  $(pf_class dispatch 1 "$DEADLINE_MS" false order-desk),
  $(pf_class quick 1 "$QUICK_MS" false order-desk)}}
JSON
  for i in $(seq "$ENTRIES"); do
    list+="{\"instance\": \"entry-$i\", \"address\": \"127.0.0.1:$((base + 10 + i))\", \"zone\": \"bole\"},"
  done
  echo "{\"revision\": $revision, \"contracts\": {\"gebeya\": $revision}," \
    '"pools": {"cutplan": 1, "order-desk": 1},' \
    "\"entries\": [${list%,}]}" >"$dir/conf/manifest.json"
}

pf_pool () {
  local pool=$1 kind=$2 i list=""
  shift 2
  for i in "$@"; do
    list+="{\"instance\": \"runner-$i\", \"address\": \"127.0.0.1:$((base + 30 + i))\", \"zone\": \"bole\"},"
  done
  echo "{\"pool\": \"$pool\", \"revision\": 1, \"kind\": \"$kind\"," \
    "\"runners\": [${list%,}]}" >"$dir/conf/pool/$pool.json"
}

pf_platform () {
  pf_start platform "$build/standin_platform" --port "$base" \
    --dir "$dir/conf"
}

pf_engine () {
  local i=$1 kind=model us=$TOKEN_US
  [ "$i" -gt "$MODELS" ] && kind=service us=$ORDER_US
  pf_start "engine-$i" "$build/standin_engine" --port $((base + 50 + i)) \
    --kind "$kind" --slots "$SLOTS" --token-us "$us" \
    --log "$dir/engine-$i.runs"
}

pf_runner () {
  local i=$1 pool=cutplan
  [ "$i" -gt "$MODELS" ] && pool=order-desk
  pf_start "runner-$i" "$build/basildockd" --role sidecar \
    --instance "runner-$i" --zone bole --pool "$pool" --slots "$SLOTS" \
    --peer-address "127.0.0.1:$((base + 30 + i))" \
    --platform-url "http://127.0.0.1:$base" \
    --engine-url "http://127.0.0.1:$((base + 50 + i))" \
    --admin-address "127.0.0.1:$((base + 70 + i))" "${RUNNER_FLAGS[@]}"
}

pf_entry () {
  local i=$1
  pf_start "entry-$i" "$build/basildockd" --role entry \
    --instance "entry-$i" --zone bole \
    --peer-address "127.0.0.1:$((base + 10 + i))" \
    --http-address "127.0.0.1:$((base + i))" \
    --platform-url "http://127.0.0.1:$base" \
    --admin-address "127.0.0.1:$((base + 20 + i))" "${ENTRY_FLAGS[@]}"
}

pf_url () { echo "$SCHEME://127.0.0.1:$((base + $1))"; }

# Prints JSON from the admin port of a daemon, entry-N or runner-N.
pf_admin () {
  local n=${1##*-} at=20
  [ "${1%-*}" = runner ] && at=70
  curl -s --max-time 2 "http://127.0.0.1:$((base + at + n))/${2:-status}"
}

# Whether the jq program FILTER is true for the status (or PATH) of a daemon.
pf_is () {
  [ "$(pf_admin "$1" "${3:-status}" | jq "$2" 2>/dev/null)" = true ]
}

pf_sees_runners () {
  pf_is "$1" "[.runners[] | select(.state == \"live\")] | length == $2" runners
}

# Starts the fleet in a new folder; waits until each entry sees all runners
# live.
pf_fleet () {
  local i count=$((MODELS + SERVICES))
  dir=$work/$1
  mkdir -p "$dir"
  base=$(pf_find_base) || exit 1
  pf_documents 1
  pf_pool cutplan model $(seq "$MODELS")
  pf_pool order-desk service $(seq $((MODELS + 1)) "$count")
  echo '{"index": 1, "instances": []}' >"$dir/conf/instances.json"
  pf_platform
  pf_start reference "$build/standin_engine" --port $((base + 50)) \
    --token-us 200
  for i in $(seq "$count"); do
    pf_engine "$i"
    pf_until 5 pf_get "http://127.0.0.1:$((base + 50 + i))/standin/load"
    pf_runner "$i"
  done
  for i in $(seq "$ENTRIES"); do pf_entry "$i"; done
  for i in $(seq "$ENTRIES"); do
    pf_until 10 pf_sees_runners "entry-$i" "$count" && continue
    echo "$1: entry-$i does not see $count runners" >&2
    pf_admin "entry-$i" runners >&2
    tail -n 3 "$dir"/*.log >&2
    return 1
  done
}

# Sends a streaming completion in the background; the answer goes to FILE.
pf_stream () {
  local entry=$1 file=$2 prompt=$3 tokens=${4:-100}
  curl -skN -D "$file.head" -H "Authorization: Bearer secret" \
    "$(pf_url "$entry")/v1/chat/completions" -d "{\"model\": \"cutplan\",
     \"stream\": true, \"max_tokens\": $tokens,
     \"messages\": [{\"role\": \"user\", \"content\": \"$prompt\"}]}" \
    >"$file" 2>/dev/null &
  pf_stream_pid=$!
}

# Prints the text of a streamed answer, complete or not.
pf_text () {
  sed -n 's/^data: //p' "$1" | tr -d '\r' | grep -v '^\[DONE\]' \
    | jq -j '.choices[0].delta.content // empty'
}

pf_whole () { tr -d '\r' <"$1" | grep -qx 'data: \[DONE\]'; }

# Prints the answer to the same prompt by an engine outside the fleet.
pf_reference () {
  local prompt=$1 tokens=${2:-100}
  curl -sN "http://127.0.0.1:$((base + 50))/v1/chat/completions" \
    -d "{\"model\": \"cutplan\", \"stream\": true, \"max_tokens\": $tokens,
     \"messages\": [{\"role\": \"user\", \"content\": \"$prompt\"}]}"
}

pf_header () {
  tr -d '\r' <"$1" | sed -n "s/^$2: //ip" | tail -n 1
}

pf_key () {
  curl -sk -H "Authorization: Bearer secret" \
    -H "X-Basildock-Class: ${2:-dispatch}" \
    "$(pf_url "$1")/v1/idempotency-keys" -d '{"service": "order-desk"}' \
    | jq -r .idempotency_key
}

# Sends an order with KEY; the answer goes to FILE, its headers to FILE.head.
pf_order () {
  local entry=$1 file=$2 key=$3 class=${4:-dispatch}
  curl -sk --max-time 30 -D "$file.head" -o "$file" \
    -H "Authorization: Bearer secret" -H "X-Basildock-Class: $class" \
    -H "Idempotency-Key: $key" \
    "$(pf_url "$entry")/v1/services/order-desk/orders" -d '{"loins": 12}'
}

pf_ran () { pf_header "$1.head" X-Basildock-Ran; }

pf_status () { head -n 1 "$1.head" | cut -d' ' -f2; }

# Counts the runs that ENGINE (or all) started for requests matching PATTERN.
pf_starts () {
  cat "$dir"/engine-${1:-*}.runs 2>/dev/null \
    | grep '"event":"start"' | grep -c -- "${2:-.}"
}

pf_logged () { grep -q -- "$2" "$dir/$1.log"; }
