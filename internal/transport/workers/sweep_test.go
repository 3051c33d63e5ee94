package workers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSweepIntervalDependsOnRecordCount(t *testing.T) {
	idle, busy := &shard{}, &shard{}
	p := &Pool{shards: []*shard{idle, busy}}
	busy.recordCount.Store(IdleRecords)
	require.Equal(t, IdleSweepInterval, p.sweepInterval())
	busy.recordCount.Store(IdleRecords + 1)
	require.Equal(t, SweepInterval, p.sweepInterval())
	busy.recordCount.Store(0)
	idle.handOver.Store(true)
	require.Equal(t, SweepInterval, p.sweepInterval())
}
