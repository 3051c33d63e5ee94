package edge

import (
	"strings"
	"testing"

	"github.com/sony/gobreaker/v2"
	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/transport/store"
)

// A reason without a counter ends the process with its first verdict.
func TestOverloadRefusalsAreCountedByRoute(t *testing.T) {
	m := newHostMetrics()
	m.countVerdict(steer.Verdict{Reason: steer.ReasonOverloaded, Service: servedAddress})
	var text strings.Builder
	m.write(&text)
	require.Contains(t, text.String(), `guava_verdicts_total{reason="overloaded"} 1`)
	require.Contains(t, text.String(), `guava_flows_refused_total{service="198.18.0.1:8443"} 1`)
}

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
