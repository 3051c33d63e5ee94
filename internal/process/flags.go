package process

import "github.com/integrii/flaggy"

// Program describes a daemon on its command line.
type Program struct {
	Name        string
	Description string
	Version     string
	// Help is appended to the list of flags.
	Help string
	// DefaultSettingsPath is the settings file where no flag names one; empty for none.
	DefaultSettingsPath string
}

// Options are the flags of a daemon.
type Options struct {
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// CheckOnly asks to check the settings and to exit.
	CheckOnly bool
}

// ParseFlags ends the process for --help, --version and wrong flags.
func (p Program) ParseFlags(args []string) Options {
	parsed := Options{SettingsPath: p.DefaultSettingsPath}
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	parser.AdditionalHelpAppend = p.Help
	parser.String(&parsed.SettingsPath, "c", "config", "The settings file (TOML).")
	parser.Bool(&parsed.CheckOnly, "", "check", "Check the settings and exit.")
	// A wrong flag ends the process inside the parser.
	_ = parser.ParseArgs(args)
	if parsed.SettingsPath == "" {
		parser.ShowHelpAndExit("--config is required")
	}
	return parsed
}
