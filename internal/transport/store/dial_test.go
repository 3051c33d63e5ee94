package store

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedDials is a dial function whose first attempts are never answered.
type blockedDials struct {
	blocked, attempts int
	err               error
}

func (d *blockedDials) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.attempts++
	if d.attempts <= d.blocked {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	return nil, d.err
}

// A host whose first SYN to the store was lost was ready 640 ms after its start, the others
// after 45 to 78 ms (cordwyr-wharf scale-2).
func TestLostSYNIsRepeatedSoon(t *testing.T) {
	errRefused := errors.New("refused")
	for _, c := range []struct {
		blocked int
		took    time.Duration
	}{{0, 0}, {1, firstDialTimeout}, {2, 3 * firstDialTimeout}} {
		synctest.Test(t, func(t *testing.T) {
			dials := &blockedDials{blocked: c.blocked, err: errRefused}
			r := &redialer{timeout: 600 * time.Millisecond, dial: dials.dial}
			began := time.Now()
			_, err := r.dialContext(t.Context(), "tcp", "192.0.2.1:80")
			require.ErrorIs(t, err, errRefused, "a refusal ends the attempts")
			require.Equal(t, c.blocked+1, dials.attempts)
			require.Equal(t, c.took, time.Since(began))
		})
	}
}

func TestDialEndsWithItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := &blockedDials{blocked: 100}
		r := &redialer{timeout: 600 * time.Millisecond, dial: dials.dial}
		began := time.Now()
		_, err := r.dialContext(t.Context(), "tcp", "192.0.2.1:80")
		require.Error(t, err)
		require.Equal(t, 600*time.Millisecond, time.Since(began))
	})
}
