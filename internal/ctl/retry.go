package ctl

import (
	"context"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// retryingPlatform repeats the calls that a platform refused with a time to come back,
// until the context ends. A refused call has not run.
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
