// Command standin2 plays the cases of the second review: it stands in for the platform's
// store and routers, the targets and the clients, and runs guavaedge as separate processes.
//
// Usage: standin2 CASE FOLDER, in the repository's root
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(folder string){
	"foreign-entry": playForeignEntry,
	"twin-entry":    playTwin,
	"cold-restart":  playColdRestart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", cause)
			os.Exit(2)
		}
	}()
	cases[os.Args[1]](os.Args[2])
}
