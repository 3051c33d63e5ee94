package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

const (
	waitLimit    = 10 * time.Second
	pollInterval = time.Millisecond
)

type client struct {
	t    *testing.T
	base string
}

func startServer(t *testing.T, options Options) (*Server, client) {
	t.Helper()
	s, err := New(options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, client{t: t, base: s.URL()}
}

// do returns the status and the body, or status 0 if no answer came.
func (c client) do(method, path, body string) (int, []byte) {
	request, err := http.NewRequest(method, c.base+path, bytes.NewBufferString(body))
	require.NoError(c.t, err)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, read
}

func (c client) put(key, version, body string) int {
	status, _ := c.do(http.MethodPut, platformapi.PathObjects+"/"+key+"?version="+version, body)
	return status
}

func TestConditionalUpdate(t *testing.T) {
	_, c := startServer(t, Options{})
	status, _ := c.do(http.MethodGet, platformapi.PathObjects+"/a/b", "")
	require.Equal(t, http.StatusNotFound, status)
	require.Equal(t, http.StatusOK, c.put("a/b", "0", `{"n":1}`))
	require.Equal(t, http.StatusConflict, c.put("a/b", "0", `{"n":2}`))
	require.Equal(t, http.StatusOK, c.put("a/b", "1", `{"n":3}`))
	require.Equal(t, http.StatusBadRequest, c.put("a/b", "2", `{`))
	require.Equal(t, http.StatusRequestEntityTooLarge,
		c.put("a/b", "2", `"`+strings.Repeat("x", objects.MaxValueSize)+`"`))

	status, body := c.do(http.MethodGet, platformapi.PathObjects+"/a/b", "")
	require.Equal(t, http.StatusOK, status)
	var object objects.Object
	require.NoError(t, json.Unmarshal(body, &object))
	require.Equal(t, objects.Object{Key: "a/b", Version: 2, Revision: 2, Value: json.RawMessage(`{"n":3}`)}, object)
}

// A watch must answer on a change under its prefix only.
func TestWatchWaitsForChange(t *testing.T) {
	s, c := startServer(t, Options{})
	require.Equal(t, http.StatusOK, c.put("a/1", "0", `1`))
	answered := make(chan objects.Page)
	go func() {
		_, body := c.do(http.MethodGet, platformapi.PathWatch+"?prefix=a/&after=1&wait=30", "")
		var page objects.Page
		_ = json.Unmarshal(body, &page)
		answered <- page
	}()
	require.Eventually(t, func() bool { return s.Counters().Watches == 1 }, waitLimit, pollInterval)
	require.Equal(t, http.StatusOK, c.put("b/1", "0", `2`))
	require.Equal(t, http.StatusOK, c.put("a/2", "0", `3`))
	page := <-answered
	require.Equal(t, uint64(3), page.Revision)
	require.Len(t, page.Objects, 1)
	require.Equal(t, "a/2", page.Objects[0].Key)
}

// A platform that goes down must end watches that already wait.
func TestDownEndsWaitingWatch(t *testing.T) {
	s, c := startServer(t, Options{})
	answered := make(chan int)
	go func() {
		status, _ := c.do(http.MethodGet, platformapi.PathWatch+"?prefix=a/&after=0&wait=30", "")
		answered <- status
	}()
	require.Eventually(t, func() bool { return s.Counters().Watches == 1 }, waitLimit, pollInterval)
	status, _ := c.do(http.MethodPost, PathFaults, `{"kind":"down"}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, http.StatusServiceUnavailable, <-answered)
	require.Equal(t, http.StatusServiceUnavailable, c.put("a/1", "0", `1`))
	_, _ = c.do(http.MethodDelete, PathFaults, "")
	require.Equal(t, http.StatusOK, c.put("a/1", "0", `1`))
}

// A fault with calls 1 must affect just the next call that matches its prefix.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   string
		status  int
		written bool
	}{
		{"lost answer", `{"kind":"lost_answer","calls":1}`, 0, true},
		{"lost request", `{"kind":"lost_request","calls":1}`, 0, false},
		{"down", `{"kind":"down","calls":1}`, http.StatusServiceUnavailable, false},
		{"slow", `{"kind":"slow","delay_ms":5,"calls":1}`, http.StatusOK, true},
		{"other prefix", `{"kind":"down","calls":1,"prefix":"b/"}`, http.StatusOK, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, c := startServer(t, Options{})
			status, _ := c.do(http.MethodPost, PathFaults, tc.fault)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, tc.status, c.put("a/1", "0", `1`))
			_, written := s.Get("a/1")
			require.Equal(t, tc.written, written)
			require.Equal(t, http.StatusOK, c.put("a/2", "0", `1`))
		})
	}
	_, c := startServer(t, Options{})
	status, _ := c.do(http.MethodPost, PathFaults, `{"kind":"nonsense"}`)
	require.Equal(t, http.StatusBadRequest, status)
}

// A write over the limit must be answered with 429 and not be stored.
func TestRateLimit(t *testing.T) {
	s, c := startServer(t, Options{WritesPerSecond: 0.001})
	require.Equal(t, http.StatusOK, c.put("a/1", "0", `1`))
	require.Equal(t, http.StatusTooManyRequests, c.put("a/2", "0", `1`))
	require.Equal(t, int64(1), s.Counters().RateLimited)
	_, written := s.Get("a/2")
	require.False(t, written)
}
