#!/usr/bin/env bash
# Builds the checkout, runs a whole fleet as separate processes on loopback, rolls out a second version during live
# traffic in three ranks, and prints a summary of one screen. Exits 0 only if every check in it passes.
set -uo pipefail
source "$(dirname "$0")/fleet.sh"

run=$(mktemp -d "${TMPDIR:-/tmp}/masticcroft-demo.XXXXXX")
model_bytes=$((16 * 1024 * 1024))
store_rate=4000000 # the store sends four copies in the time in which the link of an instance carries two
upload_rate=2000000
inter_region_rate=900000 # 60 % of 12 Mbit/s
store_region=cape-west
rate=${DEMO_RATE:-30}
entries=(entry-1 entry-2)
engines=(engine-1 engine-2 engine-3 engine-4 engine-5 engine-6 engine-7 engine-8)
cleanup() { fleet_stop; [ "${DEMO_KEEP:-}" = 1 ] || rm -rf "$run"; }
trap cleanup EXIT
trap 'exit 130' INT TERM

region_for() { case $1 in *-[1-4]) echo cape-west ;; *) echo cape-south ;; esac; }

# Prints the number of engines that report the given model and version as ready.
replicas_ready() { masticcroft status --output json 2>/dev/null | grep -c "\"$1\""; }

# follow_rollout MODEL/VERSION LABEL: writes the number of ready replicas over time to rollout.txt until all are ready.
follow_rollout() {
  local model=$1 label=$2 started=$SECONDS count=0 last=-1
  while [ "$count" -lt ${#engines[@]} ]; do
    count=$(replicas_ready "$model")
    [ "$count" != "$last" ] && printf '%s %3d s  %d/%d\n' "$label" $((SECONDS - started)) "$count" ${#engines[@]} >>"$run/rollout.txt"
    last=$count
    [ $((SECONDS - started)) -lt 70 ] || die "$label: only $count of ${#engines[@]} replicas after 70 s"
    sleep 0.5
  done
  say "$label: all replicas ready after $((SECONDS - started)) s"
}

drawn() { curl -fsS "$(url "$1")/stats" | grep -oE '"bytes" *: *[0-9]+' | grep -oE '[0-9]+' | head -1; }

copies() { awk -v bytes="$1" -v size="$model_bytes" 'BEGIN { printf "%.2f", bytes / size }'; }

build
say "starting the fleet in $run"
take_ports 80
start_platform
new_account_key
write_config "$run/config"
masticcroft check "$run/config" >"$run/check.txt" || die "configuration: $(cat "$run/check.txt")"
for name in "${engines[@]}"; do start_engine "$name"; done
start_standin switch-1 service --delay-ms 5 --ledger-url "$(url ledger)"
for name in "${engines[@]}" switch-1; do await 30 "$name starts" healthy "$name"; done
start_entry entry-1 cape-west
start_entry entry-2 cape-south
for name in "${engines[@]}"; do start_sidecar "sidecar-${name#engine-}" "$(region_for "$name")" "$name" engine engines; done
start_sidecar sidecar-switch cape-west switch-1 service switching
for name in "${!role_of[@]}"; do register "$name" live; done
for name in "${!role_of[@]}"; do
  await 40 "$name starts" curl -fsS -m 2 "http://127.0.0.1:${port_of[$name.admin]}/ping"
done
say "publishing version v1"
masticcroft publish "$run/config" 2>>"$run/publish.log" >&2 || die "publish v1"
follow_rollout harbour/v1 v1
drawn_v1=$(($(drawn store) + $(drawn origin)))
for name in "${entries[@]}"; do await 20 "$name is ready" ready "$name"; done
await 20 "the switching service is ready" ready sidecar-switch

say "live traffic at $rate requests a second"
"$home/bin/harness" load --entries "$(entries_list)" --deployment assistant --service switching --keys "$(caller_keys)" \
  --rate "$rate" --seconds 55 --seed "${DEMO_SEED:-1}" --history "$run/history.jsonl" >"$run/load.txt" 2>"$run/load.err" &
load_pid=$!
pid_of[load]=$load_pid
sleep 4
say "publishing version v2 during the traffic"
cat >"$run/config/60-rollout-v2.yaml" <<YAML
deployments:
  assistant: {version: v2}
YAML
masticcroft publish "$run/config" 2>>"$run/publish.log" >&2 || die "publish v2"
follow_rollout harbour/v2 v2
drawn_v2=$(($(drawn store) + $(drawn origin) - drawn_v1))
wait "$load_pid" || die "load driver: $(tail -3 "$run/load.err")"
unset "pid_of[load]"

sleep 3 # sidecars append their account records every 5 s, entries every second
request=$(grep '"type":"outcome"' "$run/history.jsonl" | grep '"status":200' | grep '"weights_digest":"sha' |
  sed -n 's/.*"request_id":"\([^"]*\)".*/\1/p' | tail -1)
sleep 3
"$home/bin/harness" check --history "$run/history.jsonl" --ledger "$(url ledger)/entries" >"$run/check-history.txt" 2>&1
check=$?
masticcroft explain "$request" >"$run/explain.txt" 2>&1
explain=$?
masticcroft account export "$run/account.zst" >"$run/export.txt" 2>&1 &&
  masticcroft account verify --keys "$run/account.keys" "$run/account.zst" >"$run/verify.txt" 2>&1
verify=$?

echo
echo "replicas ready against time"
sed 's/^/  /' "$run/rollout.txt"
printf 'copies drawn from weight store and origin: v1 %s, v2 %s\n' \
  "$(copies $drawn_v1)" "$(copies $drawn_v2)"
echo "requests"
sed 's/^/  /' "$run/load.txt"
echo "history check"
sed 's/^/  /' "$run/check-history.txt"
echo "account"
sed 's/^/  /' "$run/verify.txt" | head -3
echo "explain $request"
sed 's/^/  /' "$run/explain.txt"
[ $check -eq 0 ] || die "the history check found violations"
[ $explain -eq 0 ] || die "explain"
[ $verify -eq 0 ] || die "the account does not verify"
echo "demo: passed in $SECONDS s"
