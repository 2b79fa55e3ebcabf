# Functions that start a whole fleet of separate processes on loopback. Sourced by demo.sh and faults.sh.
# Every started process is recorded by its id and ended by fleet_stop; processes listen on free ports.

home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
standin_opts="-Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
service_opts="-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k"
declare -A pid_of=() port_of=() command_of=()
pool=()

say() { printf '%s %s\n' "$(date -u +%H:%M:%S)" "$*" >&2; }

die() { say "FAILED: $*"; exit 1; }

# end_processes SECONDS NAME...: sends SIGTERM, and SIGKILL to the processes that still run after the given time.
end_processes() {
  local name deadline=$((SECONDS + $1)); shift
  for name in "$@"; do kill -CONT "${pid_of[$name]}" 2>/dev/null; kill -TERM "${pid_of[$name]}" 2>/dev/null; done
  for name in "$@"; do
    while kill -0 "${pid_of[$name]}" 2>/dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.1; done
    kill -KILL "${pid_of[$name]}" 2>/dev/null
    unset "pid_of[$name]"
  done
}

# Ends every process of this run: entries and sidecars first, because they append their last records to the log.
fleet_stop() {
  local name
  local -a services=()
  for name in "${!pid_of[@]}"; do [ -n "${role_of[$name]:-}" ] && services+=("$name"); done
  [ ${#services[@]} -eq 0 ] || end_processes 15 "${services[@]}"
  [ ${#pid_of[@]} -eq 0 ] || end_processes 5 "${!pid_of[@]}"
  wait 2>/dev/null
}

build() {
  [ "${MASTICCROFT_SKIP_BUILD:-}" = 1 ] && return
  say "building"
  (cd "$home" && mvn -B -q -ntp -T4 package -DskipTests) || die "build"
}

# Fills the pool of free ports.
take_ports() { mapfile -t pool < <("$home/bin/standin" ports "$1"); }

next_port() { port=${pool[0]}; pool=("${pool[@]:1}"); }

# start NAME COMMAND...: runs a command in the background with its log in the run directory.
start() {
  local name=$1; shift
  "$@" >>"$run/$name.log" 2>&1 </dev/null &
  pid_of[$name]=$!
}

start_standin() {
  local name=$1 kind=$2; shift 2
  [ -n "${port_of[$name]:-}" ] || { next_port; port_of[$name]=$port; }
  JAVA_OPTS="$standin_opts" start "$name" "$home/bin/standin" "$kind" --id "$name" --port "${port_of[$name]}" "$@"
}

url() { echo "http://127.0.0.1:${port_of[$1]}"; }

# await SECONDS DESCRIPTION COMMAND...: repeats a command until it succeeds.
await() {
  local deadline=$((SECONDS + $1)) what=$2; shift 2
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $deadline ] || die "timeout: $what"
    sleep 0.2
  done
}

healthy() { curl -fsS -m 2 "$(url "$1")/healthz"; }

ready() { curl -fsS -m 2 "http://127.0.0.1:${port_of[$1.admin]}/healthcheck"; }

fault() { curl -fsS -m 5 -X POST -H 'Content-Type: application/json' -d "$2" "$(url "$1")/faults" >/dev/null; }

# register NAME STATE: puts an instance into the instance list.
register() {
  local name=$1 state=$2 upstream=""
  [ -n "${group_of[$name]:-}" ] && upstream=$(printf ',"upstream":{"id":"%s","kind":"%s","group":"%s"}' \
    "${upstream_of[$name]}" "${kind_of[$name]}" "${group_of[$name]}")
  curl -fsS -m 5 -X PUT -H 'Content-Type: application/json' "$(url instances)/instances/$name" -d "$(printf \
    '{"id":"%s","role":"%s","region":"%s","data_centre":"%s-1","host":"127.0.0.1","http_port":%s,"admin_port":%s,"peer_port":%s,"state":"%s"%s}' \
    "$name" "${role_of[$name]}" "${region_of[$name]}" "${region_of[$name]}" "${port_of[$name.http]:-0}" \
    "${port_of[$name.admin]}" "${port_of[$name.peer]}" "$state" "$upstream")" >/dev/null
}

unregister() { curl -fsS -m 5 -X DELETE "$(url instances)/instances/$1" >/dev/null; }

declare -A role_of=() region_of=() group_of=() kind_of=() upstream_of=()

common_flags() {
  local name=$1
  echo --instance "$name" --region "${region_of[$name]}" --data-centre "${region_of[$name]}-1" \
    --peer-port "${port_of[$name.peer]}" --admin-port "${port_of[$name.admin]}" \
    --log-url "$(url log)" --log-retention "${log_retention:-86400}" --instances-url "$(url instances)" \
    --drain-deadline 30
}

# start_entry NAME REGION: starts an entry.
start_entry() {
  local name=$1 kind
  role_of[$name]=entry region_of[$name]=$2
  for kind in http admin peer; do
    [ -n "${port_of[$name.$kind]:-}" ] || { next_port; port_of[$name.$kind]=$port; }
  done
  JAVA_OPTS="$service_opts" MASTICCROFT_ACCOUNT_KEY="$account_key" start "$name" "$home/bin/masticcroftd" entry \
    $(common_flags "$name") --http-port "${port_of[$name.http]}"
}

# start_sidecar NAME REGION UPSTREAM KIND GROUP: starts the sidecar of an upstream.
start_sidecar() {
  local name=$1 kind
  role_of[$name]=sidecar region_of[$name]=$2 upstream_of[$name]=$3 kind_of[$name]=$4 group_of[$name]=$5
  for kind in admin peer; do
    [ -n "${port_of[$name.$kind]:-}" ] || { next_port; port_of[$name.$kind]=$port; }
  done
  JAVA_OPTS="$service_opts" MASTICCROFT_ACCOUNT_KEY="$account_key" start "$name" "$home/bin/masticcroftd" sidecar \
    $(common_flags "$name") --upstream "$3" --kind "$4" --group "$5" --upstream-url "$(url "$3")" \
    --store-url "$(url store)" --origin-url "$(url origin)" --store-region "$store_region" \
    --upload-rate "${upload_rate:-2000000}" --inter-region-rate "${inter_region_rate:-900000}"
}

masticcroft() {
  JAVA_OPTS="-Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1" MASTICCROFT_LOG_URL=$(url log) \
    MASTICCROFT_INSTANCES_URL=$(url instances) "$home/bin/masticcroft" "$@"
}

hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# write_config DIR: writes the initial configuration of the test fleet. Callers use the keys <rank>-<n>-key.
write_config() {
  local dir=$1 rank customer
  mkdir -p "$dir"
  cat >"$dir/10-ranks.yaml" <<YAML
ranks:
  urgent: {order: 0, share: 0.5, first_token: 1300ms, queue_limit: 200}
  standard: {order: 1, share: 0.25, first_token: 5s, queue_limit: 200}
  background: {order: 2, share: 0.15, first_token: 20s, queue_limit: 200}
YAML
  { echo "customers:"
    for customer in agency crew office; do echo "  $customer: {weight: 1}"; done
    echo "keys:"
    for rank in urgent standard background; do
      for customer in agency crew office; do
        echo "  $customer-$rank: {sha256: $(hash_of "$customer-$rank-key"), customer: $customer, rank: $rank}"
      done
    done
  } >"$dir/20-callers.yaml"
  cat >"$dir/30-models.yaml" <<YAML
models:
  harbour:
    versions:
      v1: {digest: "$digest_v1", size: $model_bytes}
      v2: {digest: "$digest_v2", size: $model_bytes}
YAML
  cat >"$dir/40-deployments.yaml" <<YAML
deployments:
  assistant: {model: harbour, version: v1, group: engines, fencing: honoured}
YAML
  cat >"$dir/50-services.yaml" <<YAML
services:
  switching:
    group: switching
    routes:
      - {method: GET, path: "/*", idempotent: true}
      - {method: POST, path: "/*", idempotent: false}
YAML
}

caller_keys() {
  local rank customer out=""
  for rank in urgent standard background; do
    for customer in agency crew office; do out+="$customer-$rank-key:$rank,"; done
  done
  echo "${out%,}"
}

entries_list() {
  local name out=""
  for name in "${entries[@]}"; do out+="127.0.0.1:${port_of[$name.http]},"; done
  echo "${out%,}"
}

# start_platform: starts log, weight store, origin, instance list and ledger.
start_platform() {
  local models=(--model "harbour:v1:$model_bytes:1" --model "harbour:v2:$model_bytes:2")
  mapfile -t digests < <("$home/bin/standin" digest "${models[@]}")
  digest_v1=${digests[0]} digest_v2=${digests[1]}
  start_standin log log --appends-per-second 300
  start_standin store store "${models[@]}" --bytes-per-second "$store_rate"
  start_standin origin store "${models[@]}" --bytes-per-second "$store_rate"
  start_standin instances instances --lag-ms "${instances_lag:-500}"
  start_standin ledger ledger
  local name
  for name in log store origin instances ledger; do await 30 "$name starts" healthy "$name"; done
}

# start_engine NAME [FLAGS...]: starts an engine stand-in.
start_engine() {
  local name=$1; shift
  start_standin "$name" engine --slots 8 --first-token-millis 30 --token-millis 8 --fencing "${fencing:-honoured}" \
    --weights-memory-bytes $((model_bytes * 3)) --ledger-url "$(url ledger)" --crash-text poison-pill "$@"
}

new_account_key() {
  local lines
  mapfile -t lines < <(JAVA_OPTS="-Xmx64m" "$home/bin/masticcroft" account new-key)
  account_key=${lines[0]#secret } account_public=${lines[1]#public }
  echo "$account_public" >"$run/account.keys"
}
