package workers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSweepsFollowTheNumberOfRecords(t *testing.T) {
	idle, busy := &shard{}, &shard{}
	p := &Pool{shards: []*shard{idle, busy}}
	busy.flows.Store(IdleRecords)
	require.Equal(t, IdleSweepInterval, p.sweepInterval())
	busy.flows.Store(IdleRecords + 1)
	require.Equal(t, SweepInterval, p.sweepInterval())
	busy.flows.Store(0)
	idle.handOver.Store(true)
	require.Equal(t, SweepInterval, p.sweepInterval())
}
