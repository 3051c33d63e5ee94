package ctl

import (
	"context"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// retryingPlatform retries calls that the platform refused with a retry delay,
// until the context ends. Retrying is safe because a refused call has not run.
type retryingPlatform struct {
	platform Platform
}

// Do implements Platform.
func (p retryingPlatform) Do(ctx context.Context, call objects.Call) objects.Outcome {
	for {
		outcome := p.platform.Do(ctx, call)
		if outcome.Result != objects.ResultRefused || outcome.RetryAfter <= 0 {
			return outcome
		}
		select {
		case <-ctx.Done():
			return outcome
		case <-time.After(outcome.RetryAfter):
		}
	}
}
