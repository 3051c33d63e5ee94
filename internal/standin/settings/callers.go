package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/callers"
	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Callers configures a run of callers.
type Callers struct {
	Options callers.Options
	// Upstreams is the base URL of the upstream stand-in's control interface, or
	// empty if there is none.
	Upstreams string
	// Changed lists targets that are added or withdrawn during the run. The
	// imbalance is computed without them.
	Changed []state.TargetID
}

type callersFile struct {
	Listen    netip.AddrPort   `toml:"listen"`
	Hosts     []netip.AddrPort `toml:"hosts"`
	Platform  string           `toml:"platform"`
	Upstreams string           `toml:"upstreams"`
	Changed   []state.TargetID `toml:"changed_targets"`
	Seed      uint64           `toml:"seed"`
	Loss      float64          `toml:"loss"`
	Delay     duration         `toml:"delay"`
	Jitter    duration         `toml:"jitter"`
	Workers   int              `toml:"workers"`
	Limit     duration         `toml:"limit"`
	Groups    []groupEntry     `toml:"group"`
}

type groupEntry struct {
	Name       string         `toml:"name"`
	Service    netip.AddrPort `toml:"service"`
	Protocol   protocol       `toml:"protocol"`
	Flows      int            `toml:"flows"`
	Start      duration       `toml:"start"`
	Ramp       duration       `toml:"ramp"`
	Exchanges  int            `toml:"exchanges"`
	Interval   duration       `toml:"interval"`
	Kind       string         `toml:"kind"`
	AnswerSize uint32         `toml:"answer_size"`
}

// LoadCallers loads and validates the settings of a run of callers.
func LoadCallers(path string) (Callers, error) {
	var file callersFile
	if err := load(path, &file); err != nil {
		return Callers{}, err
	}
	c := Callers{Upstreams: file.Upstreams, Changed: file.Changed}
	c.Options = callers.Options{
		Listen:      file.Listen,
		Hosts:       file.Hosts,
		PlatformURL: file.Platform,
		Seed:        file.Seed,
		Loss:        file.Loss,
		Delay:       time.Duration(file.Delay),
		Jitter:      time.Duration(file.Jitter),
		Workers:     file.Workers,
		TimeLimit:   time.Duration(file.Limit),
	}
	errs := []error{requireAddress(file.Listen, "listen")}
	for _, entry := range file.Groups {
		group, err := entry.group()
		errs = append(errs, err)
		c.Options.Groups = append(c.Options.Groups, group)
	}
	return c, errors.Join(errs...)
}

func (g groupEntry) group() (callers.Group, error) {
	group := callers.Group{
		Name:       g.Name,
		Service:    g.Service,
		Protocol:   state.Protocol(g.Protocol),
		Flows:      g.Flows,
		Start:      time.Duration(g.Start),
		Ramp:       time.Duration(g.Ramp),
		Exchanges:  g.Exchanges,
		Interval:   time.Duration(g.Interval),
		AnswerSize: g.AnswerSize,
	}
	switch g.Kind {
	case "fetch":
		group.Kind = exchange.Fetch
	case "deposit":
		group.Kind = exchange.Deposit
	default:
		return group, fmt.Errorf("group %s: kind %q is neither fetch nor deposit", g.Name, g.Kind)
	}
	return group, nil
}
