// Package process holds what the main functions of the daemons share.
package process

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
)

// ReadSettings reads and checks a settings file. It prints every issue of the
// file to standard error and returns false if there is one.
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

// ShutdownSignal sends a value at the first SIGTERM or SIGINT; later ones have no
// further effect.
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
