package callers

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/objectapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	// watchTimeout is how long one watch call waits for a change.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the pause after a failed watch call.
	watchRetryDelay = 200 * time.Millisecond
)

// watchHosts applies changes of the platform's host list until the context ends.
// While the platform doesn't answer, the last hosts stay in use.
func (f *fabric) watchHosts(ctx context.Context, platform string) {
	client := objectapi.New(platform)
	revision := uint64(0)
	for ctx.Err() == nil {
		page, err := client.Watch(ctx, objects.KeyHosts, revision, watchTimeout)
		if err != nil {
			time.Sleep(watchRetryDelay)
			continue
		}
		revision = page.Revision
		for _, object := range page.Objects {
			f.updateHosts(object)
		}
	}
}

// updateHosts replaces the hosts by those of the list that are not leaving. It
// ignores lists that have none, and values that cannot be decoded.
func (f *fabric) updateHosts(object objects.Object) {
	var list objects.HostList
	if json.Unmarshal(object.Value, &list) != nil {
		return
	}
	var hosts []netip.AddrPort
	for _, host := range list.Hosts {
		if !host.Leaving {
			hosts = append(hosts, host.Packets)
		}
	}
	if len(hosts) > 0 {
		f.hosts.Store(&hosts)
	}
}
