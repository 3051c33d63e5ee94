package edge

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// The store's outdated data still has a target that has left, and the host that starts can
// make no other call after its first lists.
func TestTargetThatLeftIsNotUsedAfterAHostStarts(t *testing.T) {
	b := newTestBed(t)
	left := b.target("i-2a00000001", "a")
	outdated := b.store.Backup()
	b.target("i-2a00000002", "a")
	b.store.Delete("servers", left.Name)
	b.store.SetOutdated(outdated)
	b.store.SetFault(func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Query().Get("watch") == "" {
			return false
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	b.start()
	b.waitReady()
	for range 10 {
		require.Equal(t, "i-2a00000002", b.request(b.open()))
	}
}
