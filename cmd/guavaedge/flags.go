package main

import (
	"os"

	"github.com/guavawharf/guavawharf/internal/process"
)

// settingsEnv names the settings file where no flag does.
const settingsEnv = "GUAVAWHARF_SETTINGS"

const helpExamples = `
Examples:
  guavaedge --config edge.toml           run an entry host
  guavaedge --config edge.toml --check   check the settings only

Without --config the settings file is the one that the environment variable
GUAVAWHARF_SETTINGS names.

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  could not start
  2  wrong flags or settings`

// program returns what the command line tells of this daemon.
func program() process.Program {
	return process.Program{
		Name:        "guavaedge",
		Description: "Entry host of guavawharf on a platform that carries cookies in packets.",
		Version:     version,
		Help:        helpExamples,
		DefaultSettingsPath:      os.Getenv(settingsEnv),
	}
}
