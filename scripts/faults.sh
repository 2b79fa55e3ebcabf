#!/usr/bin/env bash
# Runs a fleet of separate processes under live traffic and random faults, then checks the recorded history against the
# ledgers of the upstreams. Usage: scripts/faults.sh --seed N [--seconds S] [--rate R] [--faults NAME,NAME...]
# Prints the seed, the faults, the counts and "violations: N"; exits 0 only without violations.
set -uo pipefail
source "$(dirname "$0")/fleet.sh"

seed=1 seconds=40 rate=25 chosen=""
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift 2 ;;
    --seconds) seconds=$2; shift 2 ;;
    --rate) rate=$2; shift 2 ;;
    --faults) chosen=$2; shift 2 ;;
    *) echo "faults.sh: unknown argument $1" >&2; exit 2 ;;
  esac
done

run=$(mktemp -d "${TMPDIR:-/tmp}/masticcroft-faults.XXXXXX")
model_bytes=$((2 * 1024 * 1024)) store_rate=4000000 upload_rate=4000000 inter_region_rate=900000
store_region=cape-west
entries=(entry-1 entry-2 entry-3)
engines=(engine-1 engine-2 engine-3 engine-4 engine-5)
services=(switch-1 switch-2)
history=$run/history.jsonl
version=v1
background=()
cleanup() { fleet_stop; [ "${FAULTS_KEEP:-}" = 1 ] && say "kept $run" || rm -rf "$run"; }
trap cleanup EXIT
trap 'exit 130' INT TERM

region_for() { case $1 in *-1 | *-2) echo cape-west ;; *) echo cape-south ;; esac; }

sidecar_for() { echo "sidecar-$1"; }

mark() { "$home/bin/harness" mark --history "$history" --kind "$1" --name "$2" --time-ms "${3:-$(date +%s%3N)}"; }

address() { echo "127.0.0.1:${port_of[$1.http]}"; }

pick() { local list=("$@"); picked=${list[$((RANDOM % $#))]}; }

note() { echo "$(date -u +%H:%M:%S) $*" >>"$run/faults.txt"; say "fault: $*"; }

start_sidecar_for() {
  case $1 in
    engine-*) start_sidecar "$(sidecar_for "$1")" "$(region_for "$1")" "$1" engine engines ;;
    *) start_sidecar "$(sidecar_for "$1")" "$(region_for "$1")" "$1" service switching ;;
  esac
}

start_service() { start_standin "$1" service --delay-ms 5 --ledger-url "$(url ledger)"; }

gone() { ! kill -0 "${pid_of[$1]}" 2>/dev/null; }

kill_engine() {
  pick "${engines[@]}"; local name=$picked
  note "kill $name"; kill -KILL "${pid_of[$name]}"; sleep 2; start_engine "$name"
}

kill_sidecar() {
  pick "${engines[@]}" "${services[@]}"; local name=$picked
  note "kill sidecar of $name"; kill -KILL "${pid_of[$(sidecar_for "$name")]}"; sleep 1; start_sidecar_for "$name"
}

kill_entry() {
  pick "${entries[@]}"; local name=$picked
  note "kill $name"; kill -KILL "${pid_of[$name]}"; sleep 1
  mark started "$(address "$name")"; start_entry "$name" "${region_of[$name]}"
}

pause_process() {
  pick "${entries[@]}" "${engines[@]/#/sidecar-}" "${services[@]/#/sidecar-}"; local name=$picked for=$((2 + RANDOM % 10))
  note "pause $name for $for s"; kill -STOP "${pid_of[$name]}"; sleep $for; kill -CONT "${pid_of[$name]}"
}

log_outage() { note "log outage"; fault log '{"outage":true}'; sleep $((3 + RANDOM % 5)); fault log '{"outage":false}'; }

log_lost_responses() {
  note "log loses half of the append responses"
  fault log '{"lose_response":0.5}'; sleep 5; fault log '{"lose_response":0.0}'
}

store_outage() { note "weight store down"; fault store '{"down":true}'; sleep 6; fault store '{"down":false}'; }

corrupt_chunks() {
  pick "${engines[@]}"; note "corrupt chunks from the store and in $picked"
  fault store '{"corrupt_probability":0.3}'; fault "$picked" '{"corrupt_next_chunks":2}'; sleep 6
  fault store '{"corrupt_probability":0.0}'
}

list_outage() { note "instance list down"; fault instances '{"reads_down":true}'; sleep 5; fault instances '{"reads_down":false}'; }

engine_trouble() {
  pick "${engines[@]}"; local name=$picked
  mark fault-begin "$name"
  case $((RANDOM % 4)) in
    0) note "$name hangs"; fault "$name" '{"hang":true}'; sleep 4; fault "$name" '{"hang":false}' ;;
    1) note "$name refuses as overloaded"; fault "$name" '{"overload":true}'; sleep 4; fault "$name" '{"overload":false}' ;;
    2) note "$name breaks answers off"; fault "$name" '{"drop_after_tokens":3}'; sleep 4; fault "$name" '{"drop_after_tokens":0}' ;;
    3) note "$name ends answers without an end"; fault "$name" '{"drop_next_ends":3}'; sleep 2; fault "$name" '{"drop_next_ends":0}' ;;
  esac
  mark fault-end "$name"
}

service_trouble() {
  pick "${services[@]}"; local name=$picked
  mark fault-begin "$name"
  case $((RANDOM % 3)) in
    0) note "$name closes connections after executing"; fault "$name" '{"close_after_next":3}'; sleep 2; fault "$name" '{"close_after_next":0}' ;;
    1) note "$name hangs"; fault "$name" '{"hang":true}'; sleep 3; fault "$name" '{"hang":false}' ;;
    2) note "$name refuses"; fault "$name" '{"refuse":true}'; sleep 3; fault "$name" '{"refuse":false}' ;;
  esac
  mark fault-end "$name"
}

# publish_folder DIR LABEL: publishes a configuration folder and records the accepted version in the history.
publish_folder() {
  local out code accepted
  out=$(masticcroft publish "$1" --output json 2>>"$run/publish.log"); code=$?
  accepted=$(grep -oE '"version" *: *[0-9]+' <<<"$out" | head -1 | grep -oE '[0-9]+')
  [ $code -eq 0 ] && [ -n "$accepted" ] && mark config-accepted "$accepted"
  note "$2: exit code $code, version ${accepted:-none}"
}

write_version() {
  cp -r "$run/config" "$1"
  printf 'deployments:\n  assistant: {version: %s}\n' "$2" >"$1/60-version.yaml"
}

change_version() {
  [ $version = v1 ] && version=v2 || version=v1
  local dir; dir=$(mktemp -d "$run/publish.XXXXXX")/config
  write_version "$dir" $version; publish_folder "$dir" "publish $version"
}

operator_race() {
  local a b; a=$(mktemp -d "$run/publish.XXXXXX")/config b=$(mktemp -d "$run/publish.XXXXXX")/config
  write_version "$a" v1; write_version "$b" v2
  publish_folder "$a" "racing operator publishes v1" & local first=$!
  publish_folder "$b" "racing operator publishes v2" & local second=$!
  wait $first $second
}

stop_entry() {
  pick "${entries[@]}"; local name=$picked
  note "planned stop of $name"; mark stop-begin "$(address "$name")"
  kill -TERM "${pid_of[$name]}"; sleep 0.5; kill -TERM "${pid_of[$name]}" 2>/dev/null
  await 35 "$name stops" gone "$name"; mark stop-end "$(address "$name")"
  mark started "$(address "$name")"; start_entry "$name" "${region_of[$name]}"
}

stop_sidecar() {
  pick "${engines[@]}" "${services[@]}"; local name=$picked sidecar
  sidecar=$(sidecar_for "$name")
  note "planned stop of $sidecar"; mark stop-begin "$name"; mark leaving "$name"
  kill -TERM "${pid_of[$sidecar]}"; await 35 "$sidecar stops" gone "$sidecar"
  mark stop-end "$name"; mark returned "$name"; start_sidecar_for "$name"
}

leaving() {
  pick "${engines[@]}" "${services[@]}"; local name=$picked
  note "$name is listed as leaving"
  register "$(sidecar_for "$name")" leaving; mark leaving "$name"; sleep 7
  mark returned "$name"; register "$(sidecar_for "$name")" live
}

# One caller repeatedly sends, through different entries, a request that crashes each engine that runs it.
poison_request() {
  local name try lost=0 body codes=""
  body=$(printf '{"model":"assistant","max_tokens":8,"messages":[{"role":"user","content":"poison-pill %s"}]}' "$RANDOM")
  note "poison request"
  for try in 1 2 3 4 5 6; do
    codes+="$(curl -s -m 20 -o /dev/null -w '%{http_code} ' -H 'Authorization: Bearer crew-urgent-key' \
      -H 'Content-Type: application/json' -d "$body" "http://$(address "${entries[$((try % ${#entries[@]}))]}")/v1/chat/completions")"
  done
  for name in "${engines[@]}"; do
    if gone "$name"; then lost=$((lost + 1)); start_engine "$name"; fi
  done
  note "poison request: answers $codes, $lost engines lost"
  [ $lost -le 2 ] || echo "poison request: $lost engines lost, at most 2 are allowed" >>"$run/extra-violations.txt"
}

all_faults=(poison_request kill_engine kill_sidecar kill_entry pause_process log_outage log_lost_responses store_outage corrupt_chunks
  list_outage engine_trouble service_trouble change_version operator_race stop_entry stop_sidecar leaving)

build
RANDOM=$seed
say "seed $seed: starting the fleet in $run"
take_ports 80
start_platform
new_account_key
write_config "$run/config"
for name in "${engines[@]}"; do start_engine "$name"; done
for name in "${services[@]}"; do start_service "$name"; done
for name in "${engines[@]}" "${services[@]}"; do await 40 "$name starts" healthy "$name"; done
start_entry entry-1 cape-west; start_entry entry-2 cape-south; start_entry entry-3 cape-west
for name in "${engines[@]}" "${services[@]}"; do start_sidecar_for "$name"; done
for name in "${!role_of[@]}"; do register "$name" live; done
for name in "${!role_of[@]}"; do
  await 60 "$name starts" curl -fsS -m 2 "http://127.0.0.1:${port_of[$name.admin]}/ping"
done
masticcroft publish "$run/config" >>"$run/publish.log" 2>&1 || die "first publish: $(tail -3 "$run/publish.log")"
for name in "${!role_of[@]}"; do await 60 "$name is ready" ready "$name"; done

"$home/bin/harness" load --entries "$(entries_list)" --deployment assistant --service switching --keys "$(caller_keys)" \
  --rate "$rate" --seconds "$seconds" --seed "$seed" --chat-share 0.55 --history "$history" >"$run/load.txt" 2>"$run/load.err" &
load_pid=$!
pid_of[load]=$load_pid
sleep 2
if [ -n "$chosen" ]; then IFS=, read -ra kinds <<<"$chosen"; else kinds=("${all_faults[@]}"); fi
overlapping=(log_outage log_lost_responses store_outage corrupt_chunks list_outage engine_trouble service_trouble leaving)
until_second=$((SECONDS + seconds - 8))
while [ $SECONDS -lt $until_second ]; do
  pick "${kinds[@]}"
  kind=$picked
  # Faults that start no process may run in the background, so that they overlap with the next fault.
  if [[ " ${overlapping[*]} " == *" $kind "* ]] && [ $((RANDOM % 2)) -eq 0 ]; then
    $kind &
    background+=($!)
  else
    $kind
  fi
  sleep $((RANDOM % 2))
done
[ ${#background[@]} -eq 0 ] || wait "${background[@]}"
wait "$load_pid" || die "load driver: $(tail -3 "$run/load.err")"
unset "pid_of[load]"
sleep 6

"$home/bin/harness" check --history "$history" --ledger "$(url ledger)/entries" >"$run/check.txt" 2>&1
code=$?
echo "seed $seed"
sed 's/^/  /' "$run/faults.txt"
sed 's/^/  /' "$run/load.txt"
cat "$run/check.txt"
if [ -s "$run/extra-violations.txt" ]; then
  cat "$run/extra-violations.txt"
  code=1
fi
[ $code -eq 0 ] || { export FAULTS_KEEP=1; exit 1; }
