// Package process holds start-up and shutdown code shared by the daemons' main
// functions.
package process

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
)

// ReadSettings reads and validates a settings file. It prints every issue to
// standard error and returns false if there is one or the file can't be read.
func ReadSettings[T any](program, path string, parse func([]byte) (T, tomldoc.Issues)) (T, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		var none T
		return none, false
	}
	checked, issues := parse(data)
	for _, issue := range issues {
		fmt.Fprintf(os.Stderr, "%s: %s\n", path, issue)
	}
	return checked, len(issues) == 0
}

// ShutdownSignal returns a channel that receives one value at the first SIGTERM or
// SIGINT. Later signals are ignored.
func ShutdownSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	leave := make(chan struct{}, 1)
	go func() {
		<-signals
		leave <- struct{}{}
	}()
	return leave
}

// HangupSignal returns a channel that receives each SIGHUP; a second one may be lost while
// one is pending. A program that does not call it ends at SIGHUP, so call it first.
func HangupSignal() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
