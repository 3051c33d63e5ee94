#!/usr/bin/env bash
# Runs seven entry hosts (guavad) in three failure domains on loopback, with stand-ins
# for the platform, the upstreams and the callers. Applies a release note, starts
# load, applies a second note under load and prints the summary. Exits non-zero if a
# flow broke, a packet reached a wrong service or a request ran twice. Settings and
# logs go to a temporary directory, which is kept on failure.
#
# Usage: scripts/demo.sh [--leave HOST] [--kill HOST] [--idle SECONDS]
#
# --leave sends SIGTERM to an entry host (a1 to c2) under load, --kill sends
# SIGKILL; the platform's host list is updated a second later. --idle runs without
# load: it prints processor time and memory of the entry hosts at the start and
# after SECONDS.
#
# DEMO_NET sets the first two bytes of the loopback addresses, DEMO_SEED the seed
# of the load. DEMO_WAY sets the forwarding mode of all services: owner or hash.
# With hash there are no flow records, so the second note breaks flows and the demo
# fails.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/hosts.sh

net=${DEMO_NET:-127.77}
seed=${DEMO_SEED:-1}
way=${DEMO_WAY:-owner}
platform_address=$net.0.1:7900
platform=http://$platform_address
upstreams=$net.0.2:7901
return_address=$net.0.3:7902
feed=198.51.100.10:443
proofs='[2001:db8::20]:443'
lookups=198.51.100.30:53

leaving=""
killed=""
idle=""
while [ $# -gt 0 ]; do
	case $1 in
	--leave) leaving=${2:?} ;;
	--kill) killed=${2:?} ;;
	--idle) idle=${2:?} ;;
	*)
		echo "usage: scripts/demo.sh [--leave HOST] [--kill HOST] [--idle SECONDS]"
		exit 2
		;;
	esac
	shift 2
done

dir=$(mktemp -d)
pids=()
names=()
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
		echo "demo: settings and logs are in $dir"
	fi
}
trap stop_all EXIT

# start NAME COMMAND... runs a process in the background and logs to NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=("$!")
	names+=("$name")
}

# await WHAT COMMAND... polls until the command succeeds, for at least 15 s.
await() {
	local what=$1
	shift
	for _ in $(seq 150); do
		if "$@" >/dev/null 2>&1; then
			return
		fi
		sleep 0.1
	done
	echo "demo: timed out waiting for $what"
	exit 1
}

hosts=(a1:1:lima-a a2:2:lima-a a3:3:lima-a b1:4:lima-b b2:5:lima-b c1:6:lima-c c2:7:lima-c)

# seeds prints the seed entries of all hosts.
seeds() {
	local entry id number domain
	for entry in "${hosts[@]}"; do
		IFS=: read -r id number domain <<<"$entry"
		seed_entry "$id" "$number" "$domain"
	done
}

# host_list GONE prints the platform's list of entry hosts, with the host GONE
# marked as leaving.
host_list() {
	local entry id number domain gone separator=""
	printf '{"hosts":['
	for entry in "${hosts[@]}"; do
		IFS=: read -r id number domain <<<"$entry"
		gone=false
		if [ "$id" = "$1" ]; then
			gone=true
		fi
		printf '%s{"ID":"%s","Domain":"%s","Packets":"%s:6080","Relay":"%s:6081","Control":"%s:6082","leaving":%s}' \
			"$separator" "$id" "$domain" "$net.1.$number" "$net.1.$number" "$net.1.$number" "$gone"
		separator=","
	done
	printf ']}\n'
}

# target_list prints "id service domain address slots" for each target.
target_list() {
	local n domains=(lima-a lima-b lima-c)
	for n in $(seq 15); do
		echo "feed-$n feed ${domains[n % 3]} $net.2.$n:6080 3"
	done
	for n in $(seq 4); do
		echo "proof-$n proofs ${domains[n % 3]} $net.3.$n:6080 3"
	done
	for n in 1 2; do
		echo "lookup-$n lookups ${domains[n % 3]} $net.4.$n:6080 3"
	done
}

service_address() {
	case $1 in
	feed) echo "$feed" ;;
	proofs) echo "$proofs" ;;
	lookups) echo "$lookups" ;;
	esac
}

service_protocol() {
	case $1 in
	lookups) echo udp ;;
	*) echo tcp ;;
	esac
}

upstream_settings() {
	local id service domain address slots
	cat <<-TOML
		control = "$upstreams"
		return = "$return_address"

		[report]
		platform = "$platform"
		interval = "1s"
		lag = "2s"
	TOML
	target_list | while read -r id service domain address slots; do
		cat <<-TOML

			[[target]]
			id = "$id"
			address = "$address"
			service = "$(service_address "$service")"
			protocol = "$(service_protocol "$service")"
			slots = $slots
			connections = 2000
			service_time = "2ms"
		TOML
	done
}

note_target() {
	cat <<-TOML

		[[add.target]]
		id = "$1"
		service = "$2"
		domain = "$3"
		address = "$4"
		slots = $5
		connections = 2000
	TOML
}

first_note() {
	local id service domain address slots
	cat <<-TOML
		id = "demo-1"
		base = 0
	TOML
	for domain in lima-a lima-b lima-c; do
		printf '\n[[add.domain]]\nid = "%s"\n' "$domain"
	done
	for customer in huaman desk; do
		printf '\n[[set.customer]]\nid = "%s"\nweight = 1\n' "$customer"
	done
	for service in feed proofs lookups; do
		cat <<-TOML

			[[add.service]]
			id = "$service"
			customer = "$([ "$service" = lookups ] && echo desk || echo huaman)"
			protocol = "$(service_protocol "$service")"
			address = "$(service_address "$service")"
			way = "$way"
			idle_timeout = "60s"
		TOML
	done
	target_list | while read -r id service domain address slots; do
		if [ "$id" != feed-15 ]; then
			note_target "$id" "$service" "$domain" "$address" "$slots"
		fi
	done
}

second_note() {
	cat <<-TOML
		id = "demo-2"
		base = 1

		[[withdraw.target]]
		id = "feed-2"
	TOML
	target_list | while read -r id service domain address slots; do
		if [ "$id" = feed-15 ]; then
			note_target "$id" "$service" "$domain" "$address" "$slots"
		fi
	done
}

# group NAME SERVICE FLOWS RAMP EXCHANGES INTERVAL KIND SIZE prints the settings of
# a group of callers.
group() {
	cat <<-TOML

		[[group]]
		name = "$1"
		service = "$(service_address "$2")"
		protocol = "$(service_protocol "$2")"
		flows = $3
		ramp = "$4"
		exchanges = $5
		interval = "$6"
		kind = "$7"
		answer_size = $8
	TOML
}

caller_settings() {
	local entry id number domain list=""
	for entry in "${hosts[@]}"; do
		IFS=: read -r id number domain <<<"$entry"
		list+="\"$net.1.$number:6080\", "
	done
	cat <<-TOML
		listen = "$return_address"
		hosts = [${list%, }]
		platform = "$platform"
		upstreams = "http://$upstreams"
		changed_targets = ["feed-2", "feed-15"]
		seed = $seed
		loss = 0.005
		delay = "1ms"
		jitter = "2ms"
		workers = 4
		limit = "60s"
	TOML
	group feed feed 1000 8s 20 1s fetch 2000
	group deposits feed 900 24s 1 1s deposit 200
	group proofs proofs 300 24s 1 1s fetch 60000
	group lookups lookups 200 15s 10 500ms fetch 300
}

echo "demo: ${#hosts[@]} entry hosts in 3 failure domains, 20 targets and one to be added, on $net.0.0/16"
host_list "" >"$dir/hosts.json"
start platform ./bin/guava-standin platform --listen "$platform_address" --hosts "$dir/hosts.json"
upstream_settings >"$dir/upstreams.toml"
start upstreams ./bin/guava-standin upstream --config "$dir/upstreams.toml"
for entry in "${hosts[@]}"; do
	IFS=: read -r id number domain <<<"$entry"
	{ host_settings "$id" "$number" "$domain" && seeds; } >"$dir/$id.toml"
	start "$id" ./bin/guavad --config "$dir/$id.toml"
done
for entry in "${hosts[@]}"; do
	IFS=: read -r id number domain <<<"$entry"
	await "entry host $id" ./bin/guavactl hosts --host "$net.1.$number:6082"
done

first_note >"$dir/demo-1.toml"
echo "demo: applying the first release note"
./bin/guavactl apply "$dir/demo-1.toml" --platform "$platform" --wait 30s

# usage prints the processor time and resident memory of each entry host.
usage() {
	local index id ticks rss
	for index in "${!names[@]}"; do
		id=${names[index]}
		if [ ${#id} -ne 2 ] || [ ! -r "/proc/${pids[index]}/stat" ]; then
			continue
		fi
		ticks=$(awk '{print $14 + $15}' "/proc/${pids[index]}/stat")
		rss=$(awk '/^VmRSS/ {print $2}' "/proc/${pids[index]}/status")
		echo "entry host   $id: $((ticks * 1000 / $(getconf CLK_TCK))) ms of processor time, $((rss / 1024)) MB"
	done
}

if [ -n "$idle" ]; then
	usage
	sleep "$idle"
	echo "demo: after $idle s without load"
	usage
	failed=0
	exit 0
fi

caller_settings >"$dir/callers.toml"
echo "demo: starting load"
./bin/guava-standin callers --config "$dir/callers.toml" >"$dir/summary.txt" 2>"$dir/callers.log" &
callers=$!
pids+=("$callers")
names+=(callers)

sleep 12
second_note >"$dir/demo-2.toml"
echo "demo: applying the second release note under load: feed-15 added, feed-2 withdrawn"
applied=0
./bin/guavactl apply "$dir/demo-2.toml" --platform "$platform" --wait 20s || applied=$?

# pid_of NAME prints the process id of a started process.
pid_of() {
	local index
	for index in "${!names[@]}"; do
		if [ "${names[index]}" = "$1" ]; then
			echo "${pids[index]}"
		fi
	done
}

# stop_host ID SIGNAL sends a signal to an entry host and, a second later, marks it
# as leaving in the platform's list.
stop_host() {
	local pid
	pid=$(pid_of "$1")
	if [ -z "$pid" ]; then
		echo "demo: there is no entry host $1"
		exit 2
	fi
	echo "demo: sending $2 to entry host $1 under load"
	kill "-$2" "$pid"
	sleep 1
	host_list "$1" >"$dir/hosts-$1.json"
	./bin/guava-standin hosts --platform "$platform" --file "$dir/hosts-$1.json"
}

left=0
if [ -n "$leaving" ]; then
	stop_host "$leaving" TERM
	wait "$(pid_of "$leaving")" || left=$?
	echo "demo: entry host $leaving exited with status $left"
fi
if [ -n "$killed" ]; then
	stop_host "$killed" KILL
fi

status=0
wait "$callers" || status=$?
cat "$dir/summary.txt"
usage
./bin/guavactl status --platform "$platform"
for index in "${!pids[@]}"; do
	case ${names[index]} in
	callers | "$leaving" | "$killed") continue ;;
	esac
	if ! kill -0 "${pids[index]}" 2>/dev/null; then
		echo "demo: process exited before the end of the load: ${names[index]}"
		status=1
	fi
done
if [ "$status" -ne 0 ] || [ "$applied" -ne 0 ] || [ "$left" -ne 0 ]; then
	cat "$dir/callers.log"
	echo "demo: FAILED"
	exit 1
fi
failed=0
echo "demo: passed"
