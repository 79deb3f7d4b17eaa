# Functions that start, check and stop a deployment on loopback. Sourced by the load, drill, benchmark and failure
# scripts.
#
# Environment variables:
#   PROFILE                 the deployment, ribera or vysocina
#   VMS                     the number of VMs
#   BALSAMBANK_PORT_OFFSET  the number added to each port
#   LIMITS_FACTOR           the factor applied to the rate and burst of each team
#   CONCURRENCY             the maximum number of concurrent requests of an engine
#   TOKEN_MS                the milliseconds between tokens of an engine that runs one request

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
PROFILE="${PROFILE:-ribera}"
VMS="${VMS:-6}"
LIMITS_FACTOR="${LIMITS_FACTOR:-1}"
TOKEN_MS="${TOKEN_MS:-10}"
CONCURRENCY="${CONCURRENCY:-16}"
offset="${BALSAMBANK_PORT_OFFSET:-0}"
work="$(mktemp -d)"
standins_pid=""
declare -A vm_pids=()
failures=0

deployment_options=(--profile "$PROFILE" --vms "$VMS" --port-offset "$offset")
export BALSAMBANK_TOKEN=drill-operator-token
export BALSAMBANK_SERVER="http://127.0.0.1:$((18091 + offset))"

# Prints a port: port callers N | operators N | kv | vms | engine N | service N. N counts from 1.
port() {
    case "$1" in
        callers) echo $((18080 + $2 + offset)) ;;
        operators) echo $((18090 + $2 + offset)) ;;
        kv) echo $((18200 + offset)) ;;
        vms) echo $((18201 + offset)) ;;
        engine) echo $((21000 + $2 + offset)) ;;
        service) echo $((21100 + $2 + offset)) ;;
    esac
}

stop_deployment() {
    local pid
    for pid in "${vm_pids[@]}" $standins_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    if [ "${KEEP_LOGS:-no}" = yes ]; then
        echo "logs in $work"
    else
        rm -rf "$work"
    fi
}

start_vm() {
    "$root/bin/balsambankd" --settings "$work/vm$1.json" >>"$work/vm$1.log" 2>&1 &
    vm_pids[$1]=$!
}

# Sends a signal to a VM: signal_vm N SIGNAL. After KILL or TERM, waits until the process has exited.
signal_vm() {
    kill "-$2" "${vm_pids[$1]}"
    case "$2" in
        KILL | TERM) wait "${vm_pids[$1]}" 2>/dev/null || true ;;
    esac
}

await_ready() {
    local n endpoints=()
    for n in "$@"; do
        endpoints+=("127.0.0.1:$(port operators "$n")")
    done
    "$root/bin/balsambank-standin" await --path /readyz --seconds 60 "${endpoints[@]}"
}

start_deployment() {
    trap stop_deployment EXIT
    trap 'exit 130' INT TERM
    "$root/bin/balsambank-standin" deployment "${deployment_options[@]}" --out "$work" \
        --limits-factor "$LIMITS_FACTOR" --concurrency "$CONCURRENCY"
    "$root/bin/balsambank-standin" fleet --engines 13 --services 4 --slots 32 --concurrency "$CONCURRENCY" \
        --token-ms "$TOKEN_MS" --fencing-every 2 --base-model base-8b --file "$work/vms.json" \
        --engine-port "$(port engine 1)" --service-port "$(port service 1)" \
        --kv-port "$(port kv)" --vms-port "$(port vms)" >"$work/standins.log" 2>&1 &
    standins_pid=$!
    "$root/bin/balsambank-standin" await --path /v1/vms "127.0.0.1:$(port vms)"
    local n
    for n in $(seq 1 "$VMS"); do
        start_vm "$n"
    done
    "$root/bin/balsambank-standin" await --path /healthz --seconds 60 "127.0.0.1:$(port operators 1)"
    "$root/bin/balsambank" apply "$work/catalogue.json"
    await_ready $(seq 1 "$VMS")
}

# Runs the load tool against the deployment.
run_load() {
    "$root/bin/balsambank-standin" load "${deployment_options[@]}" "$@"
}

# Runs a command and prints PASS or FAIL with the name of the check: check NAME COMMAND...
check() {
    local name="$1"
    shift
    if "$@"; then
        echo "PASS  $name"
    else
        echo "FAIL  $name"
        failures=$((failures + 1))
    fi
}

finish() {
    if [ "$failures" -ne 0 ]; then
        echo "$failures checks failed"
        exit 1
    fi
    echo "all checks passed"
}

# Runs the load tool in the background and writes its report to load.txt.
load_in_background() {
    run_load "$@" >"$work/load.txt" 2>&1 &
    load_pid=$!
}

await_load() {
    wait "$load_pid" || true
    cat "$work/load.txt"
}

# Checks that the load tool reports PASS for a guarantee, identified by the start of its text.
check_guarantee() {
    check "$1" grep -q "^PASS  $1" "$work/load.txt"
}

# Checks the guarantees that hold under every failure.
check_common_guarantees() {
    check_guarantee "each request runs on the adapter and version it asked for"
    check_guarantee "an adapter that serves is not evicted"
    check_guarantee "a request runs only for a team whose key allows it"
    check_guarantee "no target sees a key"
    check_guarantee "no team gets more than its rate and burst"
    check_guarantee "a cold target gets no more than it bears"
    check_guarantee "a refusal that says not run is true"
    check_guarantee "a call that must not be repeated runs at most once"
}
