package process

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHangupDoesNotEndTheProcess(t *testing.T) {
	hangups := HangupSignal()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-hangups:
	case <-time.After(time.Second):
		t.Fatal("no signal received")
	}
}

func TestFirstShutdownSignalIsReceivedAndTheSecondIsHarmless(t *testing.T) {
	leave := ShutdownSignal()
	for range 2 {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	}
	select {
	case <-leave:
	case <-time.After(time.Second):
		t.Fatal("no signal received")
	}
}
