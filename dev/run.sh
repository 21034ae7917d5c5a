#!/usr/bin/env bash
# Runs the whole stack with the stand-ins on loopback until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
settings=examples/settings
logs=run/logs
mkdir -p "$logs"
pids=()

stop() {
  trap - EXIT INT TERM
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}
trap stop EXIT
trap 'exit 0' INT TERM

start() { # program, settings name, subcommand...
  local program=$1 name=$2
  shift 2
  "$bin/$program" "$@" --settings "$settings/$name.json" \
    >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() { # url, name of the program
  for _ in $(seq 150); do
    if curl --silent --fail --output /dev/null "$1"; then return; fi
    sleep 0.2
  done
  echo "$2 did not become ready; see $logs" >&2
  exit 1
}

# Each connection may reach either gateway, so several lookups in a row have to
# succeed.
wait_for_workers() {
  local served=0
  for _ in $(seq 150); do
    if curl --silent --fail --output /dev/null --header "$account" \
      http://127.0.0.1:8080/package-catalogue/packages/1; then
      served=$((served + 1))
    else
      served=0
      sleep 0.2
    fi
    if ((served >= 12)); then return; fi
  done
  echo "the workers did not reach the gateways; see $logs" >&2
  exit 1
}

account='Tanagerspoke-Client-Account: reykjavik-desk'
entry='{"name": "entry-1", "role": "entry", "address": "127.0.0.1",
  "port": 7411, "availability_zone": "is-1a", "region": "is-1"}'

start tanagerspoke-standin platform platform
wait_for http://127.0.0.1:7400/hosts "the platform's stand-in"
for file in "$settings"/upstream-*.json; do
  start tanagerspoke-standin "$(basename "$file" .json)" upstream
done
start tanagerspoke-agent agent
start tanagerspoke-gateway gateway-1
start tanagerspoke-gateway gateway-2
# In production the platform lists the entry hosts; here the script does it.
curl --silent --fail --request PUT --output /dev/null \
  --header 'Content-Type: application/json' --data "$entry" \
  http://127.0.0.1:7400/control/hosts/entry-1
wait_for http://127.0.0.1:7412/healthz "the agent"
wait_for http://127.0.0.1:8081/healthz "gateway 1"
wait_for http://127.0.0.1:8082/healthz "gateway 2"
"$bin/tanagerspokectl" apply examples/hverasel examples/kotisiivo --wait \
  --settings "$settings/ctl.json"
wait_for http://127.0.0.1:8081/readyz "gateway 1"
wait_for http://127.0.0.1:8082/readyz "gateway 2"
# A gateway is ready before it knows the workers, which the agent reads with
# its next poll of the host list.
wait_for_workers

cat <<TEXT
Callers:  http://127.0.0.1:8080
Gateways: http://127.0.0.1:8081/metrics  http://127.0.0.1:8082/metrics
Agent:    http://127.0.0.1:7412/metrics
Logs:     $logs

A lookup:
  curl -i -H '$account' http://127.0.0.1:8080/package-catalogue/packages/17
A booking; the same key again gives the same answer, run once:
  curl -i -H '$account' -H 'Idempotency-Key: booking-1' -d '{"package": 17}' http://127.0.0.1:8080/booking/bookings
A long pull:
  curl -i -o /dev/null -H '$account' http://127.0.0.1:8080/partner-availability/pull/lockers

Ctrl-C stops everything.
TEXT
wait
