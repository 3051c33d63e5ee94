package process

import "github.com/integrii/flaggy"

// Program describes a daemon on its command line.
type Program struct {
	Name        string
	Description string
	Version     string
	// Help is appended to the list of flags.
	Help string
	// Config is the settings file where no flag names one; empty for none.
	Config string
}

// Options are the flags of a daemon.
type Options struct {
	// Config is the path of the settings file.
	Config string
	// Check asks to check the settings and to exit.
	Check bool
}

// ParseFlags ends the process for --help, --version and wrong flags.
func (p Program) ParseFlags(args []string) Options {
	parsed := Options{Config: p.Config}
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	parser.AdditionalHelpAppend = p.Help
	parser.String(&parsed.Config, "c", "config", "The settings file (TOML).")
	parser.Bool(&parsed.Check, "", "check", "Check the settings and exit.")
	// A wrong flag ends the process inside the parser.
	_ = parser.ParseArgs(args)
	if parsed.Config == "" {
		parser.ShowHelpAndExit("--config is required")
	}
	return parsed
}
