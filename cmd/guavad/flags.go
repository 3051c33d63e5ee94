package main

import "github.com/guavawharf/guavawharf/internal/process"

const helpText = `
Examples:
  guavad --config guavad.toml           run an entry host
  guavad --config guavad.toml --check   check the settings only

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  could not start
  2  wrong flags or settings`

// program describes the daemon to the command-line parser.
func program() process.Program {
	return process.Program{
		Name:        "guavad",
		Description: "Entry host of the guavawharf layer-4 load balancer.",
		Version:     version,
		Help:        helpText,
	}
}
