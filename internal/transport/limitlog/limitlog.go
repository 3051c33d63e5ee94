// Package limitlog bounds the volume of a log: each kind of line has a budget a
// second, and a reader that stops reading loses lines instead of holding up the
// process.
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

// queueLength bounds the lines that wait for the reader.
const queueLength = 256

// summaryInterval is the time between two lines about dropped lines.
const summaryInterval = 5 * time.Second

// Writer writes lines in the background and never blocks.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	out     io.Writer
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLength), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// A log that can't be written has nowhere to say so but the counter.
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of a line, or drops it while the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost because the reader was too slow.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, for at most the time given. No line may be
// written afterwards.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// Handler is a slog handler that gives each message a budget of lines a second.
// Warnings and errors have a budget of their own, so that lines on successes do
// not displace them.
type Handler struct {
	slog.Handler
	budgets *budgets
}

// DropCounts are the lines that were not written since the start.
type DropCounts struct {
	// OverBudget counts those beyond the budget of their message.
	OverBudget int64
	// SlowReader counts those that the reader was too slow for.
	SlowReader int64
}

// budgets are shared by a handler and those derived from it.
type budgets struct {
	perSecond int
	now       func() time.Time
	writer    *Writer
	// overBudget counts the lines dropped for lack of budget.
	overBudget atomic.Int64

	mu          sync.Mutex
	byMessage   map[string]*budget
	nextSummary time.Time
	// reportedReader is how many lines lost to a slow reader were told.
	reportedReader int64
}

// budget is that of one message.
type budget struct {
	limiter *rate.Limiter
	dropped int64
}

// NewHandler limits each message to some lines a second. Inner writes to the writer,
// whose losses are told, too.
func NewHandler(inner slog.Handler, writer *Writer, perSecond int, now func() time.Time) *Handler {
	return &Handler{Handler: inner, budgets: &budgets{
		perSecond: perSecond,
		now:       now,
		writer:    writer,
		byMessage: make(map[string]*budget),
	}}
}

// DropCounts returns what was lost since the start.
func (h *Handler) DropCounts() DropCounts {
	return DropCounts{OverBudget: h.budgets.overBudget.Load(), SlowReader: h.budgets.writer.Dropped()}
}

// Handle passes a record on if its message has budget left.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	allowed, report := h.budgets.allow(record)
	for _, loss := range report {
		line := slog.NewRecord(record.Time, slog.LevelWarn, "log lines dropped", 0)
		line.AddAttrs(slog.String("message", loss.message), slog.String("cause", loss.cause), slog.Int64("lines", loss.lines))
		if err := h.Handler.Handle(ctx, line); err != nil {
			return err
		}
	}
	if !allowed {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler with more attributes and the same budgets.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), budgets: h.budgets}
}

// WithGroup returns a handler with a group and the same budgets.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), budgets: h.budgets}
}

// Causes of a loss.
const (
	causeBudget = "more lines a second than allowed"
	causeReader = "the reader is too slow"
)

// dropSummary is a number of lines that were dropped since the last report.
type dropSummary struct {
	// message is what the lines said, empty for lines of any message.
	message string
	cause   string
	lines   int64
}

// allow spends a message's budget. From time to time it also returns what was lost
// since the last report.
func (b *budgets) allow(record slog.Record) (allowed bool, report []dropSummary) {
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

func (b *budgets) summarize(now time.Time) []dropSummary {
	if now.Before(b.nextSummary) {
		return nil
	}
	b.nextSummary = now.Add(summaryInterval)
	var report []dropSummary
	for message, entry := range b.byMessage {
		if entry.dropped > 0 {
			report = append(report, dropSummary{message: message, cause: causeBudget, lines: entry.dropped})
			entry.dropped = 0
		}
	}
	if lost := b.writer.Dropped() - b.reportedReader; lost > 0 {
		report = append(report, dropSummary{cause: causeReader, lines: lost})
		b.reportedReader += lost
	}
	return report
}
