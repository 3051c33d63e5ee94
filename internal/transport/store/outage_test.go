package store

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

func TestSingleCallUnderFaults(t *testing.T) {
	cases := map[string]struct {
		call     objects.Call
		faults   []fault
		result   objects.Result
		requests int
		counter  string
	}{
		"read, request lost":       {get("k"), []fault{lostRequest}, objects.ResultAbsent, 2, CountRetry + "answer_lost"},
		"read, timeout":            {get("k"), []fault{slowResponse}, objects.ResultAbsent, 2, CountRetry + "timeout"},
		"read, malformed":          {get("k"), []fault{malformedResponse}, objects.ResultAbsent, 2, CountRetry + "malformed_answer"},
		"read, unavailable":        {get("k"), []fault{unavailable}, objects.ResultAbsent, 2, CountRetry + "unavailable"},
		"read, always unavailable": {get("k"), []fault{unavailable, unavailable, unavailable}, objects.ResultUnknown, 3, CountUnknown + "get"},
		"read, rate limited":       {get("k"), []fault{rateLimited}, objects.ResultRefused, 1, CountRefused + "rate_limited"},
		"write, request lost":      {put("k", 0, "1"), []fault{lostRequest}, objects.ResultOK, 3, CountReadBack + "unwritten"},
		"write, response lost":     {put("k", 0, "1"), []fault{lostResponse}, objects.ResultOK, 2, CountReadBack + "written"},
		"write, timeout":           {put("k", 0, "1"), []fault{slowResponse}, objects.ResultOK, 2, CountReadBack + "written"},
		"write, unavailable":       {put("k", 0, "1"), []fault{unavailable}, objects.ResultOK, 3, CountReadBack + "unwritten"},
		"write, malformed":         {put("k", 0, "1"), []fault{malformedResponse}, objects.ResultOK, 2, CountReadBack + "written"},
		"write, read-back fails":   {put("k", 0, "1"), []fault{lostResponse, unavailable, unavailable, unavailable}, objects.ResultUnknown, 4, CountReadBack + "unread"},
		"write, rate limited":      {put("k", 0, "1"), []fault{rateLimited}, objects.ResultRefused, 1, CountRefused + "rate_limited"},
		"write, too large":         {put("k", 0, string(make([]byte, objects.MaxValueSize+1))), nil, objects.ResultRefused, 0, CountRefused + "too_large"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
				env.store.inject(c.faults...)
				outcome := env.client.Do(t.Context(), c.call)
				require.Equal(t, c.result, outcome.Result)
				require.Equal(t, c.requests, env.store.requestCount(""))
				require.EqualValues(t, 1, env.count(c.counter), "%s in %s", c.counter, env.counters)
			})
		})
	}
}

func TestWriteWithoutConnectionIsRefused(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		env.network.down.Store(true)
		outcome := env.client.Do(t.Context(), put("k", 0, "1"))
		require.Equal(t, objects.ResultRefused, outcome.Result)
		require.Positive(t, outcome.RetryAfter)
		require.EqualValues(t, DefaultMaxAttempts-1, env.count(CountRetry+"connect"))
		require.Zero(t, env.store.requestCount(""))
	})
}

func TestRateLimitDelaysEveryCall(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		env.store.inject(rateLimited)
		require.Equal(t, 3*time.Second, env.client.Do(t.Context(), get("k")).RetryAfter)
		time.Sleep(time.Second)
		refused := env.client.Do(t.Context(), get("other"))
		require.Equal(t, objects.ResultRefused, refused.Result)
		require.Equal(t, 2*time.Second, refused.RetryAfter)
		require.Equal(t, 1, env.store.requestCount(""))
		time.Sleep(2 * time.Second)
		require.Equal(t, objects.ResultAbsent, env.client.Do(t.Context(), get("k")).Result)
	})
}

// requestsDuringOutage makes ten calls per second for a minute to a platform that
// responds with 503, and returns the number of requests that reached it.
func requestsDuringOutage(t *testing.T, settings Settings) int {
	requests := 0
	withFaults(t, settings, func(t *testing.T, env *faultEnv) {
		for range 5000 {
			env.store.inject(unavailable)
		}
		for range 600 {
			go env.client.Do(context.Background(), get("k"))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		requests = env.store.requestCount(http.MethodGet)
		t.Logf("600 calls in 60 s made %d requests; %s", requests, env.counters)
	})
	return requests
}

func TestOutageDoesNotMultiplyRequests(t *testing.T) {
	const noCircuit = 1 << 30
	unguarded := requestsDuringOutage(t, Settings{FailuresToOpen: noCircuit, RetryRate: 1e9, RetryBurst: 1e9})
	withBudget := requestsDuringOutage(t, Settings{FailuresToOpen: noCircuit})
	withCircuit := requestsDuringOutage(t, Settings{})
	require.Equal(t, 600*DefaultMaxAttempts, unguarded, "without a retry budget and a circuit breaker every call makes all its attempts")
	require.LessOrEqual(t, withBudget, 600+DefaultRetryBurst+int(DefaultRetryRate*120))
	probes := int(time.Minute/DefaultOpenFor) + 1
	require.LessOrEqual(t, withCircuit, DefaultFailuresToOpen+DefaultMaxAttempts+probes*DefaultMaxAttempts)
}

func TestCircuitClosesAfterOutage(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		env.network.down.Store(true)
		for range 10 {
			env.client.Do(t.Context(), get("k"))
		}
		refused := env.client.Do(t.Context(), get("k"))
		require.Equal(t, objects.ResultRefused, refused.Result)
		require.Positive(t, refused.RetryAfter)
		require.LessOrEqual(t, refused.RetryAfter, DefaultOpenFor+circuitMargin)
		require.Positive(t, env.count(CountRefused+"circuit_open"))
		env.network.down.Store(false)
		time.Sleep(refused.RetryAfter)
		require.Equal(t, objects.ResultAbsent, env.client.Do(t.Context(), get("k")).Result)
		require.EqualValues(t, 1, env.count(CountCircuit+"closed"))
	})
}

func TestFirstWatchAfterOutageReturnsAtOnce(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		env.network.down.Store(true)
		for range 10 {
			env.client.Do(t.Context(), get("k"))
		}
		env.network.down.Store(false)
		time.Sleep(DefaultOpenFor + circuitMargin)
		var wait string
		env.store.inject(func(_ http.ResponseWriter, r *http.Request, _ func()) bool {
			wait = r.URL.Query().Get("wait")
			return false
		})
		watch := objects.Call{Verb: objects.VerbWatch, Key: "k", Wait: time.Minute}
		require.Equal(t, objects.ResultOK, env.client.Do(t.Context(), watch).Result)
		require.Equal(t, "0", wait)
	})
}

func TestCancelledCallsDoNotOpenTheCircuit(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		for range 10 {
			env.store.inject(slowResponse)
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			require.Equal(t, objects.ResultUnknown, env.client.Do(ctx, get("k")).Result)
			cancel()
		}
		require.Equal(t, objects.ResultAbsent, env.client.Do(t.Context(), get("k")).Result)
	})
}

func TestBackoffHasFullJitter(t *testing.T) {
	client := NewClient(Settings{}, nil)
	const samples = 2000
	for retry := range 6 {
		upper := min(DefaultBackoffMin<<retry, DefaultBackoffMax)
		low, high := upper, time.Duration(0)
		for range samples {
			delays := client.newBackoff()
			var d time.Duration
			for range retry + 1 {
				d = delays.NextBackOff()
			}
			low, high = min(low, d), max(high, d)
		}
		require.LessOrEqual(t, high, upper+time.Nanosecond)
		require.Greater(t, high, upper*9/10)
		require.Less(t, low, upper/10)
	}
}

// TestWatchResumesAtLastRevision repeats a watch as callers do: after a failure from the
// same revision, after a success from the revision of the response. It guards against
// changes that are missed or reported twice across faults.
func TestWatchResumesAtLastRevision(t *testing.T) {
	withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
		var got []string
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			watch := objects.Call{Verb: objects.VerbWatch, Key: "k"}
			for len(got) < 5 {
				outcome := env.client.Do(t.Context(), watch)
				for _, object := range outcome.Page.Objects {
					got = append(got, string(object.Value))
				}
				if outcome.Result == objects.ResultOK {
					watch.After = outcome.Page.Revision
				}
				time.Sleep(outcome.RetryAfter + DefaultBackoffMin)
			}
		}()
		writer := env.newClient(Settings{})
		for i := range 5 {
			env.store.inject(lostResponse, slowResponse, unavailable, malformedResponse, rateLimited)
			time.Sleep(30 * time.Second)
			value := string(rune('1' + i))
			require.Equal(t, objects.ResultOK, writer.Do(t.Context(), put("k", uint64(i), value)).Result)
			time.Sleep(30 * time.Second)
		}
		<-watched
		writer.Close()
		require.Equal(t, []string{"1", "2", "3", "4", "5"}, got)
	})
}
