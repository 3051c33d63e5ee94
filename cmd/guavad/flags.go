package main

import "github.com/integrii/flaggy"

// options are the flags of the command line.
type options struct {
	config string
	check  bool
}

const helpExamples = `
Examples:
  guavad --config guavad.toml           run an entry host
  guavad --config guavad.toml --check   check the settings only

Exit codes:
  0  stopped gracefully, or the settings are valid
  1  could not start
  2  wrong flags or settings`

// parseFlags ends the process for --help, --version and wrong flags.
func parseFlags(args []string) options {
	var parsed options
	parser := flaggy.NewParser("guavad")
	parser.Description = "Entry host of the guavawharf layer-4 load balancer."
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
