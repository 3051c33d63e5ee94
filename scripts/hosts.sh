# Functions that print the settings of entry hosts on loopback; to be sourced.
# They read net (the first two bytes of the addresses), platform (its URL) and
# return_address (where packets for callers go).

# host_keys ID NUMBER DOMAIN prints the id, domain and addresses of an entry host.
host_keys() {
	cat <<-TOML
		id = "$1"
		domain = "$3"
		packets = "$net.1.$2:6080"
		relay = "$net.1.$2:6081"
		control = "$net.1.$2:6082"
	TOML
}

# host_settings ID NUMBER DOMAIN prints the settings of an entry host, without
# membership seeds.
host_settings() {
	echo "[host]"
	host_keys "$@"
	cat <<-TOML
		metrics = "$net.1.$2:6083"

		[fabric]
		return = "$return_address"

		[platform]
		url = "$platform"
	TOML
}

# seed_entry ID NUMBER DOMAIN prints the settings of a membership seed.
seed_entry() {
	printf '\n[[membership.seeds]]\n'
	host_keys "$@"
}
