package edge

import (
	"strings"
	"testing"

	"github.com/sony/gobreaker/v2"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/transport/store"
)

// A circuit breaker state with a hyphen once made a metric name that the metrics format
// rejects; the panic ended the store call without a result.
func TestEveryCircuitBreakerStateHasAValidMetricName(t *testing.T) {
	m := newHostMetrics()
	for _, state := range []gobreaker.State{gobreaker.StateClosed, gobreaker.StateHalfOpen, gobreaker.StateOpen} {
		require.NotPanics(t, func() { m.Add(store.CountCircuit+state.String(), 1) })
	}
	var text strings.Builder
	m.write(&text)
	require.Contains(t, text.String(), "guava_platform_circuit_half_open_total 1")
}
