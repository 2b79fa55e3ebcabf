#!/usr/bin/env bash
# Measures resident memory, processor time and control bytes of each entry and sidecar of a small fleet on loopback, at
# idle and at two request rates, for two fleet sizes, and prints the slopes that docs/CAPACITY.md is based on.
# Bytes are TCP payload without TCP/IP headers, of the connections that are open at the end of the idle window; connections
# that close within it are not counted.
set -uo pipefail
source "$(dirname "$0")/fleet.sh"

run=$(mktemp -d "${TMPDIR:-/tmp}/masticcroft-capacity.XXXXXX")
model_bytes=$((2 * 1024 * 1024))
store_rate=50000000
store_region=cape-west
entries=(entry-1 entry-2)
low_rate=${CAPACITY_LOW_RATE:-20}
high_rate=${CAPACITY_HIGH_RATE:-80}
idle_seconds=${CAPACITY_IDLE_SECONDS:-20}
load_seconds=${CAPACITY_LOAD_SECONDS:-20}
settle_seconds=6 # sidecars append their account records every 5 s
ticks=$(getconf CLK_TCK)
samples=$run/samples.txt
trap 'fleet_stop; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

services() { printf '%s\n' "${!role_of[@]}" | sort; }

cpu_ms() { awk -v ticks="$ticks" '{ sub(/.*\) /, ""); print ($12 + $13) * 1000 / ticks }' "/proc/${pid_of[$1]}/stat"; }

rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/${pid_of[$1]}/status"; }

# sockets NAME: "peer-class direction bytes" of each connection of a process; the class is the process at the other end.
sockets() {
  local classes="" other
  for other in log instances store origin; do classes+="${port_of[$other]}=$other "; done
  for other in "${!upstream_of[@]}"; do classes+="${port_of[${upstream_of[$other]}]}=upstream "; done
  for other in "${!role_of[@]}"; do classes+="${port_of[$other.peer]}=peer "; done
  ss -tinpOH state established 2>/dev/null | awk -v pid="pid=${pid_of[$1]}," -v classes="$classes" '
    BEGIN { n = split(classes, pairs, " "); for (i = 1; i <= n; i++) { split(pairs[i], p, "="); class[p[1]] = p[2] } }
    index($0, pid) {
      sent = received = 0
      for (i = 1; i <= NF; i++) {
        if ($i ~ /^bytes_sent:/) sent = substr($i, 12)
        if ($i ~ /^bytes_received:/) received = substr($i, 16)
      }
      here = $3; there = $4
      sub(/.*:/, "", here); sub(/.*:/, "", there)
      name = there in class ? class[there] : here in class ? class[here] : "other"
      print here ":" there, name, sent + 0, received + 0
    }'
}

# traffic BEFORE AFTER: sums per class, as "class tx rx", of the connections that are in both files.
traffic() {
  awk 'NR == FNR { tx[$1] = $3; rx[$1] = $4; next }
    $1 in tx { t[$2] += $3 - tx[$1]; r[$2] += $4 - rx[$1] }
    !($1 in tx) { t[$2] += $3; r[$2] += $4 }
    END { for (c in t) print c, t[c], r[c] }' "$1" "$2"
}

log_stats() { curl -fsS -m 5 "$(url log)/stats"; }

appends() { log_stats | tr -d ' \n' | sed -n "s/.*\"appends\":{[^}]*\"$1\":\([0-9]*\).*/\1/p"; }

# stream_bytes STREAM FROM: bytes of the records of a stream, starting at an offset.
stream_bytes() {
  curl -fsS -m 20 "$(url log)/streams/$1/records?from=$2&max=1000000" | tr -d ' \n' | grep -oE '"data":"[^"]*"' |
    awk '{ bytes += (length($0) - 9) * 3 / 4 } END { printf "%.0f", bytes }'
}

# sample FLEET PHASE POINT: records processor time and memory of each process, and the counters of the log.
sample() {
  local name now
  for name in $(services); do
    now=$(date +%s%N)
    echo "$1 $2 $3 $name ${role_of[$name]}-${kind_of[$name]:-http} $((now / 1000000)) $(cpu_ms "$name") $(rss_kb "$name")" >>"$samples"
    if [ "$2" = idle ]; then sockets "$name" >"$run/$1-$name-$3.sockets"; fi
  done
  log_stats >"$run/$1-$2-$3.log.json"
}

load() {
  JAVA_OPTS="-Xmx256m" "$home/bin/harness" load --entries "$(entries_list)" --deployment assistant --service switching \
    --keys "$(caller_keys)" --rate "$1" --seconds "$2" --seed 1 --history "$run/history.jsonl" >"$run/load-$3.txt" \
    2>"$run/load-$3.err" || die "load driver: $(tail -3 "$run/load-$3.err")"
}

phase() {
  local fleet=$1 name=$2 rate=$3
  local stream
  local -A from=()
  for stream in account claims; do from[$stream]=$(appends "$stream"); done
  sample "$fleet" "$name" begin
  load "$rate" "$load_seconds" "$fleet-$name"
  sleep "$settle_seconds"
  sample "$fleet" "$name" end
  for stream in account claims; do
    echo "$fleet $name $stream $(($(appends "$stream") - ${from[$stream]:-0})) appends" \
      "$(stream_bytes "$stream" "${from[$stream]:-0}") bytes for $((rate * load_seconds)) requests" >>"$run/streams.txt"
  done
}

# measure FLEET ENGINES: starts a fleet with the given number of engines, measures it, and stops it.
measure() {
  local fleet=$1 count=$2 name number
  local -a engines=()
  for number in $(seq "$count"); do engines+=("engine-$number"); done
  pid_of=() port_of=() role_of=() region_of=() group_of=() kind_of=() upstream_of=()
  take_ports 60
  start_platform
  new_account_key
  write_config "$run/config-$fleet"
  for name in "${engines[@]}"; do start_engine "$name"; done
  start_standin switch-1 service --delay-ms 5 --ledger-url "$(url ledger)"
  for name in "${engines[@]}" switch-1; do await 60 "$name starts" healthy "$name"; done
  for name in "${entries[@]}"; do start_entry "$name" cape-west; done
  for name in "${engines[@]}"; do start_sidecar "sidecar-${name#engine-}" cape-west "$name" engine engines; done
  start_sidecar sidecar-switch cape-west switch-1 service switching
  for name in "${!role_of[@]}"; do register "$name" live; done
  for name in "${!role_of[@]}"; do
    await 60 "$name starts" curl -fsS -m 2 "http://127.0.0.1:${port_of[$name.admin]}/ping"
  done
  masticcroft publish "$run/config-$fleet" >"$run/publish-$fleet.txt" 2>&1 || say "publish: $(tail -1 "$run/publish-$fleet.txt")"
  for name in "${!role_of[@]}"; do await 60 "$name is ready" ready "$name"; done
  say "$fleet: warming up, then idle for $idle_seconds s"
  load 40 8 "$fleet-warm"
  sleep "$settle_seconds"
  sample "$fleet" idle begin
  sleep "$idle_seconds"
  sample "$fleet" idle end
  say "$fleet: $low_rate, then $high_rate requests a second for $load_seconds s each"
  phase "$fleet" low "$low_rate"
  phase "$fleet" high "$high_rate"
  for name in $(services); do
    traffic "$run/$fleet-$name-begin.sockets" "$run/$fleet-$name-end.sockets" |
      awk -v fleet="$fleet" -v name="$name" -v seconds="$idle_seconds" \
        '{ printf "%-8s %-16s %-10s tx %8.0f B/s  rx %8.0f B/s\n", fleet, name, $1, $2 / seconds, $3 / seconds }'
  done | sort >>"$run/traffic.txt"
  fleet_stop
}

report() {
  local fleet phase
  echo "processor time (ms per s) and resident memory (MiB) per process"
  awk '{ key = $1 " " $2 " " $4 }
    $3 == "begin" { t[key] = $6; c[key] = $7 }
    $3 == "end" {
      printf "%-8s %-5s %-16s %-15s %8.2f ms/s %7.1f MiB\n", $1, $2, $4, $5, ($7 - c[key]) * 1000 / ($6 - t[key]), $8 / 1024 }' "$samples"
  echo
  echo "slope per request a second of the whole fleet, by role (sum over its processes)"
  awk -v low="$low_rate" -v high="$high_rate" -v seconds="$load_seconds" '
    { key = $1 " " $5 }
    $3 == "begin" { cpu[key, $2] -= $7 }
    $3 == "end" { cpu[key, $2] += $7; rss[key, $2] += $8; keys[key] = 1; if ($2 == "idle") n[key]++ }
    END { for (k in keys)
      printf "%-24s processes %d  processor time per request %6.3f ms  memory per request a second %6.1f KiB\n", k, n[k],
        (cpu[k, "high"] - cpu[k, "low"]) / ((high - low) * seconds), (rss[k, "high"] - rss[k, "low"]) / (high - low) }' "$samples" | sort
  echo
  echo "traffic at idle"
  cat "$run/traffic.txt"
  echo
  echo "streams of the log"
  cat "$run/streams.txt"
  echo
  echo "log (begin and end of each phase)"
  for fleet in small large; do
    for phase in idle low high; do
      for point in begin end; do echo "$fleet $phase $point $(tr -d ' \n' <"$run/$fleet-$phase-$point.log.json")"; done
    done
  done
  echo
  echo "load"
  for fleet in small large; do
    for phase in low high; do echo "$fleet $phase"; sed 's/^/  /' "$run/load-$fleet-$phase.txt"; done
  done
  echo "load average of the machine: $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) processors"
}

[ "${MASTICCROFT_SKIP_BUILD:-}" = 1 ] || { say "building"; (cd "$home" && mvn -B -q -o -T4 package -DskipTests) || die "build"; }
measure small 2
measure large 6
report
