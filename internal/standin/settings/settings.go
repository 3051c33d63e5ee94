// Package settings loads the settings of the stand-ins from TOML files.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/guavawharf/guavawharf/internal/state"
)

// duration is a time.Duration written in the syntax of time.ParseDuration.
type duration time.Duration

// UnmarshalText parses the duration.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// protocol is "tcp" or "udp".
type protocol state.Protocol

// UnmarshalText parses the protocol; other values are errors.
func (p *protocol) UnmarshalText(text []byte) error {
	switch string(text) {
	case "tcp":
		*p = protocol(state.TCP)
	case "udp":
		*p = protocol(state.UDP)
	default:
		return fmt.Errorf("protocol %q is neither tcp nor udp", text)
	}
	return nil
}

// load decodes the TOML file into v. Unknown keys are errors, which name the file
// and the keys.
func load(path string, v any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	err = toml.NewDecoder(file).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return fmt.Errorf("%s: %s", path, strict.String())
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// requireAddress returns an error that names the key if the address is missing.
func requireAddress(address netip.AddrPort, key string) error {
	if !address.IsValid() {
		return fmt.Errorf("%s is required", key)
	}
	return nil
}
