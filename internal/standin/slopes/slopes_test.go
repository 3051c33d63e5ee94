package slopes

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	line := fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 3, line.Intercept, 1e-9)
	require.InDelta(t, 1, line.R2, 1e-9)
	require.Less(t, fit([]float64{1, 2, 3, 4}, []float64{1, -1, 1, -1}).R2, 0.5)
}

// quick selects the series that run faster at a smaller scale.
var quick = []string{"flows", "new_flows", "targets", "services", "domain_hosts", "domains"}

// A release must come into force on every host, and no later one with it.
func TestReleaseReachesEveryHost(t *testing.T) {
	f, err := newFleetWithRelease(&run{ctx: t.Context(), seed: 1}, 2, 2)
	require.NoError(t, err)
	took, err := f.applyNote(addTargetToFirstService(0))
	require.NoError(t, err)
	require.Positive(t, took)
	require.True(t, f.releaseInForce(2))
	require.False(t, f.releaseInForce(3))
}

// Every selected series must have its points and lines, and Write its files.
func TestRunWritesEverySeries(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	result, err := Run(t.Context(), Options{
		Seed:  seed,
		Names: quick,
		Limit: time.Minute,
		Scale: 0.01,
		Log:   slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	require.Len(t, result.Series, len(quick))
	for _, s := range result.Series {
		require.GreaterOrEqual(t, len(s.Points), 5, s.Name)
		for _, p := range s.Points {
			require.Len(t, p.Metrics, len(s.Lines), s.Name)
		}
	}
	dir := t.TempDir()
	require.NoError(t, Write(result, dir))
	for _, name := range []string{FileJSON, FileCSV, "services-one_change_p50.svg"} {
		info, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
}

func TestUnknownSeries(t *testing.T) {
	_, err := Run(t.Context(), Options{Names: []string{"nonsense"}, Limit: time.Second})
	require.ErrorContains(t, err, "nonsense")
}
