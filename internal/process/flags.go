package process

import "github.com/integrii/flaggy"

// Program describes a daemon for its command-line help.
type Program struct {
	Name        string
	Description string
	Version     string
	// Help is printed after the list of flags.
	Help string
	// DefaultSettingsPath is the settings file used without --config; empty makes
	// the flag required.
	DefaultSettingsPath string
}

// Options are a daemon's parsed flags.
type Options struct {
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// CheckOnly makes the daemon validate the settings and exit.
	CheckOnly bool
}

// ParseFlags parses the command line. It exits the process for --help, --version
// and invalid flags, and if no settings file is given.
func (p Program) ParseFlags(args []string) Options {
	parsed := Options{SettingsPath: p.DefaultSettingsPath}
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	parser.AdditionalHelpAppend = p.Help
	parser.String(&parsed.SettingsPath, "c", "config", "The settings file (TOML).")
	parser.Bool(&parsed.CheckOnly, "", "check", "Check the settings and exit.")
	// The parser exits the process on an invalid flag.
	_ = parser.ParseArgs(args)
	if parsed.SettingsPath == "" {
		parser.ShowHelpAndExit("--config is required")
	}
	return parsed
}
