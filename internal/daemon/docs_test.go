package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readPage(t *testing.T, path string) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/operations/" + path)
	require.NoError(t, err)
	return string(page)
}

// TestDocumentationNamesWhatIsShown compares the pages with a running daemon.
func TestDocumentationNamesWhatIsShown(t *testing.T) {
	t.Parallel()
	counters, flows := readPage(t, "counters.md"), readPage(t, "flows.md")
	for name := range start(t).page(t).Counters {
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
	for _, event := range append(events, countEventsDropped, countCallsRefused) {
		require.Contains(t, counters, "`"+event+"`")
	}
}
