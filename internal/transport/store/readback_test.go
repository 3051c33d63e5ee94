package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

func TestWritesWithoutResponseAreReadBack(t *testing.T) {
	overwritten := func(env *faultEnv) fault {
		return func(w http.ResponseWriter, _ *http.Request, run func()) bool {
			run()
			env.store.mu.Lock()
			env.store.put(&discardWriter{header: make(http.Header)}, "k", "1", []byte(`"other"`))
			env.store.mu.Unlock()
			closeConnection(w)
			return true
		}
	}
	cases := map[string]struct {
		faults  func(env *faultEnv) []fault
		result  objects.Result
		version uint64
	}{
		"request lost":            {func(*faultEnv) []fault { return []fault{lostRequest} }, objects.ResultOK, 1},
		"response lost":           {func(*faultEnv) []fault { return []fault{lostResponse} }, objects.ResultOK, 1},
		"timeout":                 {func(*faultEnv) []fault { return []fault{slowResponse} }, objects.ResultOK, 1},
		"executed late":           {func(*faultEnv) []fault { return []fault{lateExecution} }, objects.ResultOK, 1},
		"executed after the read": {func(*faultEnv) []fault { return []fault{lateExecution, noFault, delayed} }, objects.ResultOK, 1},
		"response lost twice":     {func(*faultEnv) []fault { return []fault{lostRequest, noFault, lostResponse} }, objects.ResultOK, 1},
		"response lost, read fails": {func(*faultEnv) []fault {
			return []fault{lostResponse, malformedResponse, malformedResponse, malformedResponse}
		}, objects.ResultUnknown, 1},
		"overwritten by other client": {func(env *faultEnv) []fault { return []fault{overwritten(env)} }, objects.ResultUnknown, 2},
		"executed after the retry was rate limited": {func(*faultEnv) []fault {
			return []fault{lateExecution, noFault, rateLimited}
		}, objects.ResultUnknown, 1},
		"request lost, retry rate limited": {func(*faultEnv) []fault {
			return []fault{lostRequest, noFault, rateLimited}
		}, objects.ResultUnknown, 0},
		"rate limited":     {func(*faultEnv) []fault { return []fault{rateLimited} }, objects.ResultRefused, 0},
		"unavailable once": {func(*faultEnv) []fault { return []fault{unavailable} }, objects.ResultOK, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFaults(t, Settings{}, func(t *testing.T, env *faultEnv) {
				env.store.inject(c.faults(env)...)
				outcome := env.client.Do(t.Context(), put("k", 0, `"mine"`))
				time.Sleep(time.Minute)
				require.Equal(t, c.result, outcome.Result)
				require.Equal(t, c.version, env.store.version("k"))
			})
		})
	}
}

func TestSameJSON(t *testing.T) {
	cases := map[string]struct {
		a, b string
		same bool
	}{
		"white space":    {`{"x":[1,2]}`, "{ \"x\" : [1, 2]\n}", true},
		"order of keys":  {`{"x":1,"y":2}`, `{"y":2,"x":1}`, true},
		"order of items": {`[1,2]`, `[2,1]`, false},
		"large numbers":  {`9007199254740993`, `9007199254740992`, false},
		"not JSON":       {`{`, `{`, false},
	}
	for name, c := range cases {
		require.Equal(t, c.same, sameJSON(json.RawMessage(c.a), json.RawMessage(c.b)), name)
	}
}

// TestOutcomesOfConcurrentWritesAreCorrect lets clients write one object concurrently
// under random faults. A write with ResultOK must have been executed exactly once, and
// one with a conflict or a refusal must not have been executed.
func TestOutcomesOfConcurrentWritesAreCorrect(t *testing.T) {
	faults := []fault{noFault, delayed, lostRequest, lostResponse, slowResponse, lateExecution, malformedResponse, unavailable, rateLimited}
	rapid.Check(t, func(rt *rapid.T) {
		indexes := rapid.SliceOfN(rapid.IntRange(0, len(faults)-1), 0, 40).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) {
			writeConcurrently(t, rt, func(env *faultEnv) {
				for _, p := range indexes {
					env.store.inject(faults[p])
				}
			})
		})
	})
}

// writeConcurrently runs the writers in virtual time and checks the result of each write.
func writeConcurrently(t *testing.T, rt *rapid.T, prepare func(*faultEnv)) {
	const writers, rounds = 3, 4
	env, stop := startFaultEnv(Settings{FailuresToOpen: 1000})
	prepare(env)
	type writeResult struct {
		value  string
		result objects.Result
	}
	results := make(chan writeResult, writers*rounds)
	for w := range writers {
		go func() {
			client := env.newClient(Settings{FailuresToOpen: 1000})
			defer client.Close()
			for round := range rounds {
				current := client.Do(t.Context(), get("k"))
				value := fmt.Sprintf(`"%d-%d"`, w, round)
				outcome := client.Do(t.Context(), put("k", current.Object.Version, value))
				results <- writeResult{value, outcome.Result}
				time.Sleep(time.Duration(w+1) * time.Second)
			}
		}()
	}
	time.Sleep(10 * time.Minute)
	synctest.Wait()
	close(results)
	for c := range results {
		written := env.store.writeCount(c.value)
		switch {
		case written > 1:
			rt.Fatalf("%s was written %d times", c.value, written)
		case c.result == objects.ResultOK && written != 1:
			rt.Fatalf("%s: the result is OK, but the value was not written", c.value)
		case c.result != objects.ResultOK && c.result != objects.ResultUnknown && written != 0:
			rt.Fatalf("%s: result %d means not executed, but the value was written", c.value, c.result)
		}
	}
	stop()
}
