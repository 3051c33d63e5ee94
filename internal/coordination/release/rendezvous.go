package release

import (
	"slices"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/zeebo/xxh3"
)

// rendezvousOrder sorts the hosts by the hash of salt and host ID, lowest first
// (rendezvous hashing). All hosts with the same view get the same order.
func rendezvousOrder(salt string, hosts []state.Host) []state.Host {
	type ranked struct {
		hash uint64
		host state.Host
	}
	list := make([]ranked, 0, len(hosts))
	for _, host := range hosts {
		list = append(list, ranked{xxh3.HashString(salt + "\x00" + string(host.ID)), host})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash < b.hash {
				return -1
			}
			return 1
		}
		if a.host.ID < b.host.ID {
			return -1
		}
		return 1
	})
	sorted := make([]state.Host, 0, len(list))
	for _, entry := range list {
		sorted = append(sorted, entry.host)
	}
	return sorted
}

// hostIndex returns the index of the host with the ID, or -1.
func hostIndex(hosts []state.Host, id state.HostID) int {
	return slices.IndexFunc(hosts, func(host state.Host) bool { return host.ID == id })
}
