#!/usr/bin/env bash
# Brings a release of the planned size (3,600 services, 27,000 targets) into force
# on two entry hosts in two failure domains on loopback, by 12 release notes. Prints
# the time that each note takes, and processor time and memory of the hosts before
# the notes, after them, and after a further idle time. No traffic is sent.
#
# Usage: scripts/planned.sh [IDLE SECONDS]    (default 30)
#
# PLANNED_NET sets the first two bytes of the loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/hosts.sh

rest=${1:-30}
net=${PLANNED_NET:-127.78}
platform=http://$net.0.1:7900
return_address=$net.0.3:7902
notes=12
services=300
targets=2250

dir=$(mktemp -d)
pids=()

stop_all() {
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	wait
	rm -rf "$dir"
}
trap stop_all EXIT

# note N prints the release note with index N, counted from 0.
note() {
	printf 'id = "planned-%d"\nbase = %d\n' "$1" "$1"
	if [ "$1" -eq 0 ]; then
		printf '[[set.customer]]\nid = "customer"\nweight = 1\n'
		printf '[[add.domain]]\nid = "domain-%d"\n' 1 2
	fi
	awk -v note="$1" -v services=$services -v targets=$targets 'BEGIN {
		for (s = 0; s < services; s++) {
			n = note * services + s
			printf "[[add.service]]\nid = \"s%d\"\ncustomer = \"customer\"\nprotocol = \"tcp\"\n", n
			printf "address = \"198.51.%d.%d:443\"\n", n / 250, n % 250 + 1
		}
		for (t = 0; t < targets; t++) {
			n = note * targets + t
			printf "[[add.target]]\nid = \"t%d\"\nservice = \"s%d\"\ndomain = \"domain-%d\"\n", n, note * services + t % services, n % 2 + 1
			printf "address = \"10.1.%d.%d:6080\"\n", n / 250, n % 250 + 1
		}
	}'
}

# usage prints processor time, resident memory and its peak for both entry hosts.
usage() {
	local number pid ticks rss peak
	for number in 1 2; do
		pid=${pids[number]}
		ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
		rss=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
		peak=$(awk '/^VmHWM/ {print $2}' "/proc/$pid/status")
		echo "entry host h$number: $((ticks * 1000 / $(getconf CLK_TCK))) ms of processor time, $((rss / 1024)) MB, peak $((peak / 1024)) MB"
	done
}

./bin/guava-standin platform --listen "$net.0.1:7900" 2>"$dir/platform.log" &
pids+=($!)
for number in 1 2; do
	{
		host_settings "h$number" "$number" "domain-$number"
		seed_entry h1 1 domain-1
		seed_entry h2 2 domain-2
	} >"$dir/h$number.toml"
	./bin/guavad --config "$dir/h$number.toml" 2>"$dir/h$number.log" &
	pids+=($!)
done
for number in 1 2; do
	until ./bin/guavactl hosts --host "$net.1.$number:6082" >/dev/null 2>&1; do
		kill -0 "${pids[number]}"
		sleep 0.1
	done
done
usage
for n in $(seq 0 $((notes - 1))); do
	note "$n" >"$dir/note.toml"
	began=$(date +%s%N)
	./bin/guavactl apply "$dir/note.toml" --platform "$platform" --wait 60s >/dev/null
	echo "note $n of $(wc -c <"$dir/note.toml") bytes in force after $((($(date +%s%N) - began) / 1000000)) ms"
done
usage
sleep "$rest"
echo "after $rest s idle"
usage
