#!/usr/bin/env bash
# Runs the stateless path on loopback: three guavaedge processes, with a stand-in for
# the platform (store, targets, host rotation and clients). Under load a target
# leaves, a route and a target are added, and a host is killed and restarted. Prints
# the results that clients and targets recorded; exits non-zero if an answer was wrong
# or a request ran twice. Logs go to a temporary directory, which is kept on failure.
#
# Usage: scripts/demo-edge.sh [LENGTH]    (default 20s)
#
# DEMO_NET sets the first two bytes of the loopback addresses, DEMO_SEED the seed.
set -euo pipefail
cd "$(dirname "$0")/.."

net=${DEMO_NET:-127.88}
seed=${DEMO_SEED:-1}
length=${1:-20s}
store=$net.0.1:7900
dir=$(mktemp -d)
pids=()
failed=1

stop_all() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	if [ "$failed" -eq 0 ]; then
		rm -rf "$dir"
	else
		echo "demo failed; settings and logs are in $dir"
	fi
}
trap stop_all EXIT

write_settings() {
	cat >"$dir/edge-$1.toml" <<SETTINGS
[host]
id      = "edge-$1"
domain  = "a"
packets = "$net.1.$1:7000"
ready   = "$net.1.$1:7001"
metrics = "$net.1.$1:7002"
control = "$net.1.$1:7003"

[peers]
seeds = ["$net.1.1:7003", "$net.1.2:7003"]

[store]
address = "$store"
SETTINGS
}

start_host() {
	./bin/guavaedge --config "$dir/edge-$1.toml" >>"$dir/edge-$1.log" 2>&1 &
	host_pid=$!
	pids+=("$host_pid")
}

hosts=()
for number in 1 2 3; do
	write_settings "$number"
	hosts+=(--host "$net.1.$number:7000,$net.1.$number:7001")
	start_host "$number"
done
victim=$host_pid

./bin/guava-standin edge --store "$store" "${hosts[@]}" --targets "$net.2.1" \
	--clients "$net.3.1:7000" --length "$length" --seed "$seed" >"$dir/report" 2>"$dir/standin.log" &
load=$!
pids+=("$load")

sleep 3
echo "hosts, as reported by a seed:"
./bin/guavactl edge-hosts --host "$net.1.1:7003" --all
sleep 3
echo "sending SIGKILL to edge-3"
kill -KILL "$victim"
sleep 1
start_host 3
wait "$load"
echo "results recorded by clients and targets:"
cat "$dir/report"
failed=0
