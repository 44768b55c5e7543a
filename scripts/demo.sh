#!/usr/bin/env bash
# Starts the stand-in (a simulated platform with workers) and two availability
# zones with two instances each on loopback. Runs a service, a batch and a watch
# under load, kills a worker and a scheduler, and prints which tasks moved to
# another worker and why. Exits with 1 if a task was lost or ran twice, if a
# response was wrong, or if too few requests succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."

BATCH_TASKS=20
WAIT_SECONDS=20
STANDIN=http://127.0.0.1:17000
ENTRIES=http://127.0.0.1:7401,http://127.0.0.1:7402,http://127.0.0.1:7403,http://127.0.0.1:7404
export SKYLARK_SERVERS=http://127.0.0.1:7501,http://127.0.0.1:7502,http://127.0.0.1:7503,http://127.0.0.1:7504

logs=$(mktemp -d)
pids=()
ctl=bin/skylarkctl

cleanup() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$logs"
}
trap cleanup EXIT

fail() {
	echo "demo: FAILED: $*"
	tail -n 15 "$logs"/*.log
	exit 1
}

# start NAME COMMAND... runs a program in the background and sets last to its
# process id.
start() {
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	last=$!
	pids+=("$last")
}

# until_ok WHAT COMMAND... repeats the command until it succeeds, and fails after
# WAIT_SECONDS.
until_ok() {
	local what=$1
	shift
	local end=$((SECONDS + WAIT_SECONDS))
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || fail "$what: timed out after ${WAIT_SECONDS} s"
		sleep 0.1
	done
}

# tasks KIND ID STATE COUNT succeeds if at least COUNT tasks of the job are in
# STATE.
tasks() {
	[ "$($ctl "$1" show "$2" | grep -cw "$3")" -ge "$4" ]
}

echo "== start the stand-in, four schedulers and four entries"
start standin bin/skylark-standin run -settings examples/dev/standin.json
standin=$last
until_ok "start of the stand-in" curl -fs $STANDIN/admin/totals
kill -0 "$standin" 2>/dev/null || fail "the stand-in exited; is another one running on the same port?"
for n in 1 2 3 4; do
	start "scheduler-$n" bin/skylark-scheduler run -settings examples/dev/scheduler-$n.json
	[ $n != 1 ] || victim=$last
	start "entry-$n" bin/skylark-entry run -settings examples/dev/entry-$n.json
done
for n in 1 2 3 4; do
	until_ok "start of scheduler $n" $ctl status -server http://127.0.0.1:750$n
	until_ok "start of entry $n" curl -fs http://127.0.0.1:740$n/readyz
done

echo "== create a service, a batch of $BATCH_TASKS tasks and a watch"
$ctl service create - <<'J'
{"id": "confirm", "tenant": "teiki", "family": "confirm", "priority": 80, "tasks": 6, "target": "50ms",
 "needs": {"milli_cpu": 2000, "memory_mb": 1024, "accelerators": 0}}
J
$ctl job create - <<J
{"id": "renewals", "tenant": "teiki", "family": "valuation", "tasks": $BATCH_TASKS, "run_time": "6s", "deadline": "60s",
 "retries": 3, "needs": {"milli_cpu": 1000, "memory_mb": 1024, "accelerators": 0}}
J
$ctl watch create - <<'J'
{"id": "refills", "tenant": "teiki", "family": "refills", "tasks": 2,
 "needs": {"milli_cpu": 500, "memory_mb": 256, "accelerators": 0}}
J
until_ok "start of the service" tasks service confirm running 6
until_ok "start of the watch" tasks watch refills running 2
sleep 1 # the entries learn of new upstreams within half a second
$ctl service show confirm

echo "== send requests"
start load-latency bin/skylark-load -entries $ENTRIES -service confirm -tenant teiki -class latency -count 6000 -concurrency 8 -pause 15ms -least 0.95
latency=$last
start load-keyed bin/skylark-load -entries $ENTRIES -service confirm -tenant teiki -class latency -count 400 -concurrency 4 -pause 30ms -keyed -seed 2 -least 0.95
keyed=$last
start load-batch bin/skylark-load -entries $ENTRIES -service confirm -tenant teiki -class batch -count 2000 -concurrency 4 -pause 15ms -seed 3
batch=$last

sleep 1
worker=$($ctl job show renewals | awk '/running/ {print $3; exit}')
lost=$($ctl job show renewals | awk -v w="$worker" '$3 == w {print $1; exit}')
echo "== kill worker $worker and one scheduler"
curl -fs -X POST -H 'Content-Type: application/json' -d "{\"kind\": \"kill\", \"target\": \"$worker\"}" $STANDIN/admin/faults >/dev/null || fail "the stand-in refused the fault"
kill -KILL "$victim"

until_ok "end of the batch" tasks job renewals finished $BATCH_TASKS
echo "== the batch has finished"
$ctl job show renewals
echo "== why task $lost moved"
$ctl explain "$lost"
until_ok "restart of the lost service tasks" tasks service confirm running 6

wait "$latency" && wait "$keyed" && wait "$batch" || fail "a response was wrong or too few requests succeeded: $(cat "$logs"/load-*.log)"
echo "== latency per class"
cat "$logs"/load-*.log
$ctl status
$ctl workers
echo "== what the workers and upstreams recorded"
bin/skylark-standin verify -url $STANDIN || fail "the recorded history cannot be read or violates a rule, for example a task was lost or ran twice"
echo "demo: ok after $SECONDS s"
