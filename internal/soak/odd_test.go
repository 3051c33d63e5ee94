package soak

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// smallestHostMemory is the memory of the smallest host that guavaedge has to run on, in KB.
const smallestHostMemory = 80 << 10

// oddMark is the value of an entry that the store replaces by one that the store's own
// encoder can't write.
const oddMark = `"odd"`

// serveStore serves a call to the store, with oddValue in place of the first oddMark.
func (b *testbed) serveStore(w http.ResponseWriter, r *http.Request) {
	value := b.oddValue.Load()
	if value == nil {
		b.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	b.store.ServeHTTP(answer, r)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	if _, err := w.Write(bytes.Replace(answer.Body.Bytes(), []byte(oddMark), []byte(*value), 1)); err != nil {
		b.t.Logf("a host did not read an answer of the store: %v", err)
	}
}

// peakMemory returns the most memory that a host's process has used, in KB.
func (h *host) peakMemory(t *testing.T) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	require.NoError(t, err)
	found := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(t, found, "the process has ended")
	kilobytes, err := strconv.Atoi(string(found[1]))
	require.NoError(t, err)
	return kilobytes
}

// logContains reports whether the host has logged a text.
func (h *host) logContains(text string) bool {
	log, err := os.ReadFile(h.log.Name())
	return err == nil && strings.Contains(string(log), text)
}

// Guards against hosts that end, or stop following the targets, since another writer left
// an entry of the greatest size that is nested very deeply. One host starts while it is there.
func TestDeeplyNestedEntryDoesNotEndHosts(t *testing.T) {
	b := newTestbed(t, 1, guavaedgePath)
	value := strings.Repeat("[", 1<<19-100) + strings.Repeat("]", 1<<19-100)
	b.oddValue.Store(&value)
	b.store.Put("servers", "i-2bffffffff", "odd")
	b.kill(b.hosts[0])
	for _, h := range b.hosts {
		require.Eventually(t, func() bool { return h.logContains("target entry not read") }, 10*time.Second, 20*time.Millisecond)
	}
	b.startTarget()
	added := b.targets[len(b.targets)-1].Name
	for number, h := range b.hosts {
		require.Eventually(t, func() bool { return h.logContains(added) }, 10*time.Second, 20*time.Millisecond)
		used := h.peakMemory(t)
		t.Logf("host %d: %d KB at most", number+1, used)
		require.Less(t, used, smallestHostMemory)
	}
}
