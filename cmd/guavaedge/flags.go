package main

import (
	"os"

	"github.com/guavawharf/guavawharf/internal/process"
)

// settingsEnv is the environment variable with the settings file's path, used
// without --config.
const settingsEnv = "GUAVAWHARF_SETTINGS"

const helpExamples = `
Examples:
  guavaedge --config edge.toml           run an entry host
  guavaedge --config edge.toml --check   check the settings only

Without --config, the environment variable GUAVAWHARF_SETTINGS gives the path of
the settings file.

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  could not start
  2  invalid flags or settings`

// program describes guavaedge for its command-line help.
func program() process.Program {
	return process.Program{
		Name:                "guavaedge",
		Description:         "guavawharf's entry host for platforms whose packets carry a target cookie.",
		Version:             version,
		Help:                helpExamples,
		DefaultSettingsPath: os.Getenv(settingsEnv),
	}
}
