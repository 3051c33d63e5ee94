// Package limitlog bounds the volume of a log: each message has a budget of lines per
// second, and lines that the reader of the log is too slow for are dropped instead of
// blocking the process.
package limitlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueLength bounds the number of lines queued for the reader of the log.
const queueLength = 256

// summaryInterval is the minimum time between two summaries of dropped lines.
const summaryInterval = 5 * time.Second

// Writer is an io.Writer that writes lines in the background; Write never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	out     io.Writer
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// The log itself can't be written, so the error is only counted.
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of a line, or drops the line if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full or a write
// failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until the queued lines are written, for at most the given time. Write
// must not be called afterwards.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// Handler is a slog handler that gives each message a budget of lines per second. As
// warnings and errors have messages of their own, frequent lines about successes do
// not displace them.
type Handler struct {
	slog.Handler
	budgets *budgets
}

// DropCounts are the numbers of lines that were dropped since the start.
type DropCounts struct {
	// OverBudget counts lines beyond the budget of their message.
	OverBudget int64
	// SlowReader counts lines dropped by the writer, see Writer.Dropped.
	SlowReader int64
}

// budgets is shared by a handler and the handlers derived from it.
type budgets struct {
	perSecond int
	now       func() time.Time
	writer    *Writer
	// overBudget counts the lines dropped for lack of budget since the start.
	overBudget atomic.Int64

	mu          sync.Mutex
	byMessage   map[string]*budget
	nextSummary time.Time
	// reportedReader is the number of lines dropped by the writer that summaries
	// have reported.
	reportedReader int64
}

// budget is the rate limiter of one message and the lines dropped since the last
// summary.
type budget struct {
	limiter *rate.Limiter
	dropped int64
}

// NewHandler returns a handler that passes up to perSecond lines a second of each
// message to inner. Inner should write to writer, whose dropped lines are reported, too.
func NewHandler(inner slog.Handler, writer *Writer, perSecond int, now func() time.Time) *Handler {
	return &Handler{Handler: inner, budgets: &budgets{
		perSecond: perSecond,
		now:       now,
		writer:    writer,
		byMessage: make(map[string]*budget),
	}}
}

// DropCounts returns the numbers of lines dropped since the start.
func (h *Handler) DropCounts() DropCounts {
	return DropCounts{OverBudget: h.budgets.overBudget.Load(), SlowReader: h.budgets.writer.Dropped()}
}

// Handle passes a record to the inner handler if its message has budget left. When a
// summary of dropped lines is due, it logs the summary first.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	allowed, summaries := h.budgets.allow(record)
	for _, summary := range summaries {
		line := slog.NewRecord(record.Time, slog.LevelWarn, "log lines dropped", 0)
		line.AddAttrs(slog.String("message", summary.message), slog.String("cause", summary.cause), slog.Int64("lines", summary.lines))
		if err := h.Handler.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler with additional attributes that shares h's budgets.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), budgets: h.budgets}
}

// WithGroup returns a handler with a group that shares h's budgets.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), budgets: h.budgets}
}

// Causes of dropped lines.
const (
	causeBudget = "more lines a second than allowed"
	causeReader = "the reader is too slow"
)

// dropSummary is the number of lines dropped for one cause since the last summary.
type dropSummary struct {
	// message is the message of the lines, or empty for lines of any message.
	message string
	cause   string
	lines   int64
}

// allow reports whether the record's message has budget left, and uses it up by one
// line. Every summaryInterval it also returns what was dropped since the last summary.
func (b *budgets) allow(record slog.Record) (allowed bool, summaries []dropSummary) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.byMessage[record.Message]
	if entry == nil {
		entry = &budget{limiter: rate.NewLimiter(rate.Limit(b.perSecond), b.perSecond)}
		b.byMessage[record.Message] = entry
	}
	now := b.now()
	allowed = entry.limiter.AllowN(now, 1)
	if !allowed {
		entry.dropped++
		b.overBudget.Add(1)
	}
	return allowed, b.summarize(now)
}

// summarize returns the lines dropped since the last summary, or nil if no summary is
// due. The caller holds b.mu.
func (b *budgets) summarize(now time.Time) []dropSummary {
	if now.Before(b.nextSummary) {
		return nil
	}
	b.nextSummary = now.Add(summaryInterval)
	var summaries []dropSummary
	for message, entry := range b.byMessage {
		if entry.dropped > 0 {
			summaries = append(summaries, dropSummary{message: message, cause: causeBudget, lines: entry.dropped})
			entry.dropped = 0
		}
	}
	if dropped := b.writer.Dropped() - b.reportedReader; dropped > 0 {
		summaries = append(summaries, dropSummary{cause: causeReader, lines: dropped})
		b.reportedReader += dropped
	}
	return summaries
}
