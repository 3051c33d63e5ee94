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
	watchTimeout  = 10 * time.Second
	watchRetryDelay = 200 * time.Millisecond
)

// watchHosts keeps the hosts in step with the platform's list until the context
// ends. While the platform does not answer, the hosts stay as they are.
func (f *fabric) watchHosts(ctx context.Context, platform string) {
	client := objectapi.New(platform)
	after := uint64(0)
	for ctx.Err() == nil {
		page, err := client.Watch(ctx, objects.KeyHosts, after, watchTimeout)
		if err != nil {
			time.Sleep(watchRetryDelay)
			continue
		}
		after = page.Revision
		for _, object := range page.Objects {
			f.updateHosts(object)
		}
	}
}

// updateHosts replaces the hosts by those of the list that are not leaving, if any.
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
