// Command standin plays the drills of this review: it starts guavaedge processes with
// settings of a small deployment on loopback, and stands in for the platform around them, as
// the pages describe it: store, routers, targets and clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin DRILL RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "target" {
		os.Exit(runTarget(os.Args[2:]))
	}
	drills := map[string]func(*scene) int{"cold": cold, "all-cold": allCold, "rollback": rollback, "release": release}
	drill := drills[os.Args[1]]
	if drill == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "no such drill, or no path for the record")
		os.Exit(exitNotRun)
	}
	os.Exit(play(drill, os.Args[2]))
}

// play runs a drill and ends all its processes, whatever happens.
func play(drill func(*scene) int, record string) (code int) {
	s, err := newScene(record, shiftedBounds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	defer s.end()
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "the drill failed:", cause)
			code = exitNotRun
		}
	}()
	return drill(s)
}
