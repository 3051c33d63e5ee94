package edgesettings

import (
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `
[host]
id = "edge-a-1"
domain = "a"
packets = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
metrics = "10.1.0.10:9464"
control = "10.1.0.10:8166"
[peers]
seeds = ["10.1.0.11:8166", "10.2.0.10:8166"]
[store]
address = "10.200.1.7:8169"
`

func TestParseAppliesDefaults(t *testing.T) {
	settings, issues := Parse([]byte(validSettings))
	require.Empty(t, issues)
	require.Equal(t, Settings{
		HostID: "edge-a-1", Domain: "a",
		Packets:      netip.MustParseAddrPort("10.1.0.10:8172"),
		Ready:        netip.MustParseAddrPort("10.1.0.10:8167"),
		Metrics:      netip.MustParseAddrPort("10.1.0.10:9464"),
		Control:      netip.MustParseAddrPort("10.1.0.10:8166"),
		Seeds:        []netip.AddrPort{netip.MustParseAddrPort("10.1.0.11:8166"), netip.MustParseAddrPort("10.2.0.10:8166")},
		StoreAddress: netip.MustParseAddrPort("10.200.1.7:8169"),
		ChangeBound:  3 * time.Second, DrainBound: 3 * time.Second, LeaveDeadline: 5 * time.Second,
		MaxFlowAge: time.Minute, EstimateFrom: DefaultEstimateFrom, LogLevel: slog.LevelInfo, LogRate: 40,
	}, settings)
}

func TestParseReportsKeyAndLineOfEachIssue(t *testing.T) {
	text := strings.Replace(validSettings, `"10.1.0.10:8172"`, `"nowhere"`, 1) + "[bounds]\nchange = \"1h\"\nspeed = 1\n"
	_, issues := Parse([]byte(text))
	var got []string
	for _, issue := range issues {
		got = append(got, issue.String())
	}
	require.Len(t, got, 3, "%v", got)
	for i, part := range []string{"host.packets", "bounds.change", "bounds.speed"} {
		require.Contains(t, got[i], part)
		require.Regexp(t, `\d+`, got[i])
	}
}
