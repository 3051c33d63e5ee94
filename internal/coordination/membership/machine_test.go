package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

const seeds = 5

func TestHostsJoinAndSeeEachOther(t *testing.T) {
	for seed := range uint64(seeds) {
		l := newLink(t, seed)
		l.domains(2, 2, 2, 1)
		took, ok := l.until(10*time.Second, l.allAlive)
		require.True(t, ok, "seed %d", seed)
		t.Logf("all joined after %v", took)
	}
}

func TestKilledHostLeavesEveryView(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, victim := range []state.HostID{"host-1-000", "host-4-000"} {
			l := newLink(t, seed)
			l.domains(2, 2, 2, 1)
			l.run(10 * time.Second)
			l.node(victim).killed = true
			took, ok := l.until(20*time.Second, func() bool { return l.agree(victim, state.HostDead) })
			require.True(t, ok, "seed %d", seed)
			t.Logf("seed %d: %s gone from every view after %v", seed, victim, took)
		}
	}
}
