package platform

import (
	"context"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Watch calls handle with each page of changes under the prefix after the given
// revision, until the context ends or handle returns false. After a failure it
// waits and resumes at the last revision that it has handled, so no change is
// skipped and none is handled twice. Empty answers are paced, should the platform
// not wait.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration, handle func(objects.Page) bool) {
	call := objects.Call{Verb: objects.VerbWatch, Key: prefix, After: after, Wait: wait}
	delays := c.newBackOff()
	for ctx.Err() == nil {
		outcome := c.Do(ctx, call)
		if outcome.Result != objects.ResultOK {
			c.counters.Add(CountRetry+string(causeWatch), 1)
			if !sleep(ctx, outcome.RetryAfter+delays.NextBackOff()) {
				return
			}
			continue
		}
		delays.Reset()
		call.After = max(call.After, outcome.Page.Revision)
		if len(outcome.Page.Objects) == 0 {
			sleep(ctx, c.settings.BackOffMin)
			continue
		}
		if !handle(outcome.Page) {
			return
		}
	}
}
