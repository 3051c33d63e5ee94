package limitlog

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newLog returns a log with a budget of 5 lines per second and message, and its clock.
// Its writer drops nothing.
func newLog(out io.Writer) (*slog.Logger, *time.Time) {
	log, _, now := newLogWithWriter(out, NewWriter(io.Discard))
	return log, now
}

// newLogWithWriter returns a log that reports the lines dropped by the writer, its
// handler and its clock.
func newLogWithWriter(out io.Writer, writer *Writer) (*slog.Logger, *Handler, *time.Time) {
	now := time.Unix(1000, 0)
	inner := slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}})
	handler := NewHandler(inner, writer, 5, func() time.Time { return now })
	return slog.New(handler), handler, &now
}

func TestEachMessageHasItsOwnBudget(t *testing.T) {
	var out bytes.Buffer
	log, _ := newLog(&out)
	for range 100 {
		log.Info("placed")
	}
	log.Warn("target does not answer")
	require.Equal(t, 5, strings.Count(out.String(), "msg=placed"))
	require.Equal(t, 1, strings.Count(out.String(), "target does not answer"), "lines about successes must not displace a warning")
}

func TestDroppedLinesAreReportedOnce(t *testing.T) {
	var out bytes.Buffer
	log, now := newLog(&out)
	log = log.With("host", "a1")
	for range 100 {
		log.Info("placed")
	}
	*now = now.Add(summaryInterval)
	log.Info("placed")
	require.Contains(t, out.String(), `level=WARN msg="log lines dropped" host=a1 message=placed cause="more lines a second than allowed" lines=95`)
	*now = now.Add(summaryInterval)
	log.Info("placed")
	require.Equal(t, 1, strings.Count(out.String(), "log lines dropped"), "reported once")
}

func TestLinesDroppedForSlowReaderAreReportedOnce(t *testing.T) {
	writer := NewWriter(blockedWriter{})
	for range queueLength + 10 {
		_, _ = writer.Write([]byte("line\n"))
	}
	var out bytes.Buffer
	log, handler, now := newLogWithWriter(&out, writer)
	for range 8 {
		log.Info("placed")
	}
	require.Contains(t, out.String(), `cause="the reader is too slow"`)
	require.Equal(t, int64(3), handler.DropCounts().OverBudget)
	require.Equal(t, writer.Dropped(), handler.DropCounts().SlowReader)
	*now = now.Add(summaryInterval)
	log.Info("placed")
	require.Equal(t, 1, strings.Count(out.String(), "too slow"), "reported once")
}

// blockedWriter blocks every write forever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// At any rate of decisions, the log grows by no more than the budget of each message
// per second.
func TestLogVolumeIsBoundedAtAnyLineRate(t *testing.T) {
	const messages, decisions, seconds = 10, 200_000, 3
	var out bytes.Buffer
	log, handler, now := newLogWithWriter(&out, NewWriter(io.Discard))
	for range seconds {
		for i := range decisions {
			log.Info("decision " + string(rune('a'+i%messages)))
		}
		*now = now.Add(time.Second)
	}
	written := strings.Count(out.String(), "\n")
	require.LessOrEqual(t, written, messages*(5+5*seconds)+messages)
	require.GreaterOrEqual(t, handler.DropCounts().OverBudget, int64(decisions*seconds-written))
}

// A reader that stops reading must not block writers.
func TestStoppedReaderDoesNotBlockWriters(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	lines := NewWriter(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * queueLength {
			_, _ = lines.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked on the reader")
	}
	require.GreaterOrEqual(t, lines.Dropped(), int64(8*queueLength))
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	lines := NewWriter(&out)
	for range 50 {
		_, _ = lines.Write([]byte("line\n"))
	}
	lines.Close(10 * time.Second)
	require.Equal(t, 50, strings.Count(out.String(), "line"))
	require.Zero(t, lines.Dropped())
}
