package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readDoc(t *testing.T, path string) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/operations/" + path)
	require.NoError(t, err)
	return string(page)
}

// TestDocsListCountersGaugesAndEvents checks that the documentation names every counter,
// gauge and log event of a running daemon. Counters with the prefixes rpc_ and platform_
// are exempt.
func TestDocsListCountersGaugesAndEvents(t *testing.T) {
	t.Parallel()
	counters, flows := readDoc(t, "counters.md"), readDoc(t, "flows.md")
	for name := range startDaemon(t).readMetrics(t).Counters {
		reason, isReason := strings.CutPrefix(name, "reason_")
		switch {
		case isReason:
			require.Contains(t, flows, "`"+reason+"`")
		case strings.HasPrefix(name, "rpc_"), strings.HasPrefix(name, "platform_"):
		default:
			require.Contains(t, counters, "`"+name+"`")
		}
	}
	for _, gauge := range []string{"flows", "targets", "release_version", "members", "ready", "leaving"} {
		require.Contains(t, counters, "`"+gauge+"`")
	}
	events := []string{LogStarted, LogStopped, LogStartFailed, LogLeaveRequested, LogServerFailed}
	for _, event := range append(events, counterEventsDropped, counterCallsRefused) {
		require.Contains(t, counters, "`"+event+"`")
	}
}
