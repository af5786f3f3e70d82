# Scenarios of bench/run: the published documents, the load and the faults.
# Sourced by bench/run, which sets dir, base, and the counts below.

# Capacity of 12 runners with 8 slots, 20 ms per token and 5 % more for each
# further sequence: 296 tokens/s per runner.  Answers of at most 200 tokens
# have about 92 on average, so the fleet serves about 38 requests/s, or 34 with
# two runners at a third of the speed.
model_runners=12
service_runners=2
entries=3
slots=8
token_us=20000
threads=64
max_streams=512
queue_items=1000
zone_count=3
# Log level 7 shows the queue of a sidecar, for the check of tiers.
log_level=7
fault_plan=""

class_contract () {
  local name=$1 tier=$2 ttft=$3 gap=$4 idempotent=$5 pool=$6
  cat <<EOF
  "$name": {"tier": $tier, "first_token_ms": $ttft, "token_gap_ms": $gap,
   "deadline_ms": 60000, "idempotent": $idempotent, "pool": "$pool",
   "min_share_permille": 50, "max_output_tokens": 400}
EOF
}

write_contract () {
  local workspace=$1 secret=$2 rate=$3 hash
  hash=$(printf %s "$secret" | sha256sum | cut -d' ' -f1)
  cat >"$dir/conf/contract/$workspace.json" <<EOF
{"workspace": "$workspace", "revision": 1, "default_class": "plan",
 "retry_window_s": 600, "credentials": ["$hash"],
 "limits": {"requests_per_s": $rate, "tokens_per_s": 100000000,
  "concurrency": 1000000},
 "classes": {
$(class_contract plan 0 1300 100 true cutplan),
$(class_contract phone 1 3000 100 true cutplan),
$(class_contract batch 2 20000 200 true cutplan),
$(class_contract dispatch 1 3000 1000 false order-desk)}}
EOF
}

# Prints a class of the load: name, contract class, secret, tier, JSON parts.
load_class () {
  local name=$1 class=$2 secret=$3 tier=$4 ttft=$5 gap=$6 phases=$7
  local more=${8:-}
  cat <<EOF
{"name": "$name", "header": "$class", "credential": "$secret",
 "tier": $tier, "model": "cutplan", "stream": true, "max_tokens": 200,
 "prompt_bytes": 400, "prefix_bytes": 256, "prefix_groups": 8,
 "first_token_ms": $ttft, "token_gap_ms": $gap, "phases": [$phases]$more}
EOF
}

orders_class () {
  load_class orders dispatch secret-gebeya 1 3000 1000 "$1" \
    ', "service": true, "stream": false, "keyed": true,
 "duplicate_permille": 200, "path": "/v1/services/order-desk/orders"'
}

phase () { echo "{\"from_ms\": $1, \"to_ms\": $2, \"rate\": $3}"; }

write_load () {
  local duration=$1 drain=$2 targets=$3 classes
  shift 3
  classes=$(printf '%s,' "$@")
  cat >"$dir/load.json" <<EOF
{"targets": [$targets], "duration_ms": $duration, "drain_ms": $drain,
 "classes": [${classes%,}]}
EOF
}

entry_targets () {
  local i list=""
  for i in $(seq "$entries"); do
    list+="\"http://127.0.0.1:$((base + 100 + i))\","
  done
  echo "${list%,}"
}

# Prints three classes, each with its own load phases.
three_classes () {
  local phases0=$1 phases1=$2 phases2=$3
  load_class plan plan secret-gebeya 0 1300 100 "$phases0"
  echo ,
  load_class phone phone secret-apa 1 3000 100 "$phases1"
  echo ,
  load_class batch batch secret-gebeya 2 20000 200 "$phases2"
}

scenario_morning-burst () {
  fault_plan="0 straggle 2; 0 straggle 7"
  write_load 40000 40000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 5000 5),$(phase 5000 35000 14),$(phase 35000 40000 5)" \
    "$(phase 0 5000 8),$(phase 5000 35000 22),$(phase 35000 40000 8)" \
    "$(phase 0 5000 7),$(phase 5000 35000 19),$(phase 35000 40000 7)")" \
    "$(orders_class "$(phase 2000 38000 2)")"
}

# A burst at 2.5 times the capacity with short queues, so that they overflow.
scenario_shed () {
  queue_items=10
  write_load 25000 40000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 5000 5),$(phase 5000 20000 20)" \
    "$(phase 0 5000 8),$(phase 5000 20000 40)" \
    "$(phase 0 5000 7),$(phase 5000 20000 35)")"
}

scenario_van-calls () {
  write_load 30000 30000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 30000 5)" \
    "$(phase 0 8000 10),$(phase 8000 11000 110),$(phase 11000 18000 10),$(
      phase 18000 21000 110),$(phase 21000 30000 10)" \
    "$(phase 0 30000 7)")"
}

scenario_two-stragglers () {
  fault_plan="0 straggle 2; 0 straggle 7"
  write_load 30000 30000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 30000 8)" "$(phase 0 30000 10)" "$(phase 0 30000 9)")"
}

# The flooding workspace has a limit of 3 requests/s and sends 60.
scenario_flood () {
  flood_rate=3
  write_load 30000 30000 "$(entry_targets)" \
    "$(load_class phone-before phone secret-apa 1 3000 100 \
      "$(phase 0 15000 18)")" \
    "$(load_class phone-during phone secret-apa 1 3000 100 \
      "$(phase 15000 30000 18)")" \
    "$(load_class flood phone secret-flood 1 3000 100 \
      "$(phase 15000 30000 60)")"
}

scenario_crash () {
  fault_plan="6 crash 3; 9 start 3; 12 crash 8; 15 start 8; 18 crash 13; 20 start 13"
  write_load 25000 40000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 25000 7)" "$(phase 0 25000 8)" "$(phase 0 25000 7)")" \
    "$(orders_class "$(phase 2000 25000 10)")"
}

scenario_outage () {
  local i
  for i in $(seq $((model_runners + service_runners))); do
    fault_plan+="8 crash $i; 14 start $i; "
  done
  write_load 25000 60000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 25000 7)" "$(phase 0 25000 8)" "$(phase 0 25000 7)")" \
    "$(orders_class "$(phase 2000 25000 5)")"
}

# Three requests with different prompts crash every engine that runs them;
# crashed engines are restarted.
scenario_poison () {
  local i
  poison_text=poisoned-sheet
  for i in $(seq "$model_runners"); do
    fault_plan+="0 poison $i; "
  done
  write_load 25000 40000 "$(entry_targets)" "$(three_classes \
    "$(phase 0 25000 7)" "$(phase 0 25000 8)" "$(phase 0 25000 7)")" \
    "$(load_class poisoned batch secret-apa 2 20000 200 \
      '{"from_ms": 5000, "to_ms": 20000, "count": 3}' \
      ", \"poison\": \"$poison_text\", \"poison_permille\": 1000")"
}

# Compares requests through the router with direct ones, 100 requests/s each,
# on equally many engines.  One zone, so that all engines are used; short
# steps, so that the wait for an engine's next step does not hide the routing
# time.
scenario_overhead () {
  local i list="" direct
  model_runners=4 service_runners=0 entries=1 slots=64 token_us=500 log_level=6
  zone_count=1
  direct_engines=4
  for i in $(seq "$direct_engines"); do
    list+="\"http://127.0.0.1:$((base + 500 + i))\","
  done
  direct=", \"max_tokens\": 20, \"targets\": [${list%,}]"
  write_load 20000 10000 "$(entry_targets)" \
    "$(load_class through plan secret-gebeya 0 1300 100 \
      "$(phase 0 20000 100)" ', "max_tokens": 20')" \
    "$(load_class direct plan secret-gebeya 0 1300 100 \
      "$(phase 0 20000 100)" "$direct")"
}

# 500 concurrent streams through one entry, then 10 more.
scenario_streams500 () {
  model_runners=4 service_runners=0 entries=1 slots=128 token_us=20000
  threads=160 max_streams=500
  write_load 3000 90000 "$(entry_targets)" \
    "$(load_class held plan secret-gebeya 0 30000 2000 \
      '{"from_ms": 0, "to_ms": 1000, "count": 500}' ', "max_tokens": 400')" \
    "$(load_class extra plan secret-gebeya 0 30000 2000 \
      '{"from_ms": 1200, "to_ms": 1300, "count": 10}')"
}

scenarios="morning-burst shed van-calls two-stragglers flood crash outage poison overhead streams500"
