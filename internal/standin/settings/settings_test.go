package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state"
)

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestLoadUpstreams(t *testing.T) {
	u, err := LoadUpstreams(write(t, `
control = "127.0.0.1:7800"
return = "127.0.0.1:7801"
[report]
platform = "http://127.0.0.1:7900"
lag = "2s"
[[target]]
id = "feed-1"
address = "127.0.0.1:7802"
service = "198.51.100.10:443"
protocol = "tcp"
slots = 3
connections = 2000
service_time = "5ms"
`))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, u.Reporter.Lag)
	require.Equal(t, defaultReportInterval, u.Reporter.Interval)
	require.Equal(t, state.TCP, u.Targets[0].Protocol)
	require.Equal(t, 5*time.Millisecond, u.Targets[0].ServiceTime)

	// An unknown key, a missing address and an unknown protocol are errors.
	for _, bad := range []string{"colour = 1", "control = \"127.0.0.1:1\"", "[[target]]\nprotocol = \"sctp\""} {
		_, err := LoadUpstreams(write(t, bad))
		require.Error(t, err, bad)
	}
}

func TestLoadCallers(t *testing.T) {
	c, err := LoadCallers(write(t, `
listen = "127.0.0.1:7801"
hosts = ["127.0.1.1:6080"]
seed = 4
loss = 0.005
workers = 2
limit = "1m"
[[group]]
name = "feed"
service = "198.51.100.10:443"
protocol = "tcp"
flows = 10
exchanges = 2
interval = "500ms"
kind = "deposit"
`))
	require.NoError(t, err)
	require.Equal(t, 500*time.Millisecond, c.Options.Groups[0].Interval)
	_, err = LoadCallers(write(t, "listen = \"127.0.0.1:1\"\n[[group]]\nkind = \"x\""))
	require.Error(t, err)
}
