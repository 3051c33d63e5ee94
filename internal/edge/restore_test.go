package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/platform/platformtest"
)

// writeEntry writes a target's entry to the store as the n-th that it writes.
func (b *testBed) writeEntry(target *platformtest.Target, state string, n int) {
	entry := target.Entry("taller", "a", state)
	entry["sequence"] = n
	b.store.Put("servers", target.Name, entry)
}

// A target was draining when the store went back to a backup in which it was ready. The
// revisions given out since are given out again, for other changes.
func TestStoreRestoredFromBackup(t *testing.T) {
	b := newTestBed(t)
	draining := b.target("i-2a00000001", "a")
	b.target("i-2a00000002", "a")
	b.start()
	b.waitReady()
	backup := b.store.Backup()
	flow := b.open()
	name := b.request(flow)
	b.writeEntry(draining, "draining", 2)
	b.configure(3, servedAddress)
	b.eventually(func() bool { return b.logs.contains("config=3") && b.logs.contains("draining=true") })

	b.store.Restore(backup)
	b.target("i-2a00000003", "a")
	b.store.Delete("servers", "i-2a00000002")
	b.eventually(func() bool { return b.logs.contains("store restored from a backup") && b.logs.contains("i-2a00000003") })
	b.eventually(func() bool { return b.request(b.open()) == "i-2a00000003" })
	require.Equal(t, name, b.request(flow), "open flows stay where they are")
	for range 20 {
		require.NotEqual(t, draining.Name, b.request(b.open()), "the target is leaving whatever the backup says")
	}
	require.Contains(t, b.scrapeMetrics(), "guava_config_version 3")
	b.configure(4, servedAddress)
	b.eventually(func() bool { return b.logs.contains("config=4") })
}

// The store passes the known revision again before the host asks it: no watch fails.
func TestChangesAfterARestoreAreKnownThoughRevisionsRepeat(t *testing.T) {
	b := newTestBed(t)
	b.target("i-2a00000001", "a")
	b.start()
	b.waitReady()
	backup := b.store.Backup()
	for range 10 {
		b.store.Put("other", "x", 1)
	}
	b.target("i-2a00000003", "a").Stop()
	b.eventually(func() bool { return b.logs.contains("i-2a00000003") })
	b.store.Restore(backup)
	b.store.Delete("servers", "i-2a00000001")
	b.target("i-2a00000002", "a")
	for range 50 {
		b.store.Put("other", "x", 1)
	}
	began := time.Now()
	b.eventually(func() bool { return b.request(b.open()) == "i-2a00000002" })
	require.Less(t, time.Since(began), 2*b.settings().ChangeBound)
}

// The host that starts finds the configuration of the backup in the store; the one that is
// running has the acknowledged one.
func TestHostThatStartsAfterARestoreTakesTheNewestConfigurationFromAnother(t *testing.T) {
	first := startReadyHost(t)
	backup := first.store.Backup()
	first.configure(3, servedAddress)
	first.eventually(func() bool { return first.logs.contains("config=3") })
	first.store.Restore(backup)
	first.eventually(func() bool { return first.logs.contains("store restored from a backup") })
	second, _ := newPeerBed(first)
	second.start()
	second.eventually(func() bool { return second.logs.contains("configuration taken from another host") })
	require.Contains(t, second.scrapeMetrics(), "guava_config_version 3")
	first.configure(4, servedAddress)
	second.eventually(func() bool { return second.logs.contains("config=4") })
}
