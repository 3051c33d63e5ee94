package main

import (
	"os"

	"github.com/integrii/flaggy"
)

// options are the flags of the command line.
type options struct {
	config string
	check  bool
}

// settingsVariable names the settings file where no flag does.
const settingsVariable = "GUAVAWHARF_SETTINGS"

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

// parseFlags ends the process for --help, --version and wrong flags.
func parseFlags(args []string) options {
	parsed := options{config: os.Getenv(settingsVariable)}
	parser := flaggy.NewParser("guavaedge")
	parser.Description = "Entry host of guavawharf on a platform that carries cookies in packets."
	parser.Version = version
	parser.AdditionalHelpAppend = helpExamples
	parser.String(&parsed.config, "c", "config", "The settings file (TOML).")
	parser.Bool(&parsed.check, "", "check", "Check the settings and exit.")
	// A wrong flag ends the process inside the parser.
	_ = parser.ParseArgs(args)
	if parsed.config == "" {
		parser.ShowHelpAndExit("--config is required")
	}
	return parsed
}
