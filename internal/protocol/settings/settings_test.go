package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `
[host]
id = "a1"
domain = "a"
packets = "127.0.0.1:6080"
relay = "127.0.0.1:6081"
control = "127.0.0.1:6082"
metrics = "127.0.0.1:6083"

[fabric]
return = "127.0.0.1:7000"

[platform]
url = "http://127.0.0.1:8080"
timeout = "1s"

[[membership.seeds]]
id = "a1"
domain = "a"
packets = "127.0.0.1:6080"
relay = "127.0.0.1:6081"
control = "127.0.0.1:6082"

[[membership.seeds]]
id = "b1"
domain = "b"
packets = "[::1]:6080"
relay = "[::1]:6081"
control = "[::1]:6082"

[log]
level = "warn"
`

func TestParseValid(t *testing.T) {
	settings, issues := Parse([]byte(validSettings))
	require.Empty(t, issues)
	require.Equal(t, "a1", string(settings.Host.ID))
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:6083"), settings.Metrics)
	require.Equal(t, Platform{URL: "http://127.0.0.1:8080", Timeout: time.Second}, settings.Platform)
	require.Len(t, settings.Seeds, 1)
	require.Equal(t, "b1", string(settings.Seeds[0].ID))
	require.Equal(t, Traffic{Workers: DefaultWorkers, MaxFlows: DefaultMaxFlows, MaxNewFlows: DefaultMaxNewFlows}, settings.Traffic)
	require.Equal(t, DefaultLeaveDeadline, settings.LeaveDeadline)
	require.Equal(t, slog.LevelWarn, settings.LogLevel)
}

func TestParseReportsEveryIssue(t *testing.T) {
	text := `[host]
id = "a 1"
packets = "127.0.0.1:6080"
relay = "127.0.0.1:6080"
control = "localhost:6082"
metrics = "0.0.0.0:6083"
colour = "red"

[platform]
url = "ftp://x"
timeout = "1h"

[traffic]
workers = 0
max_flows = "many"

[log]
level = "loud"

[[membership.seeds]]
id = "b1"
domain = "b"
packets = "127.0.0.2:1"
relay = "127.0.0.2:2"
control = "127.0.0.2:3"

[[membership.seeds]]
id = "b1"
domain = "b"
packets = "127.0.0.3:1"
relay = "127.0.0.3:2"
control = "127.0.0.3:3"
`
	_, issues := Parse([]byte(text))
	var got []string
	for _, issue := range issues {
		got = append(got, fmt.Sprintf("%d %s", issue.Line, issue.Key))
		require.NotEmpty(t, issue.Message)
	}
	require.ElementsMatch(t, []string{
		"0 fabric.return", "1 host.domain", "2 host.id", "4 host.relay",
		"5 host.control", "6 host.metrics", "7 host.colour", "10 platform.url",
		"11 platform.timeout", "14 traffic.workers", "15 traffic.max_flows",
		"18 log.level", "28 membership.seeds[1].id",
	}, got)
}

func TestDescribedKeysAreUniqueAndComplete(t *testing.T) {
	seen := make(map[string]bool)
	for _, key := range Describe() {
		require.False(t, seen[key.Name], key.Name)
		seen[key.Name] = true
		require.NotEmpty(t, key.Range, key.Name)
		require.NotEmpty(t, key.Meaning, key.Name)
	}
}
