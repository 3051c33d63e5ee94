package settings

import (
	"errors"
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/upstream"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Upstreams configures a process that runs upstreams.
type Upstreams struct {
	// Control is the HTTP address that serves the counts and accepts faults.
	Control netip.AddrPort
	// Return is the address that the upstreams send their answers to.
	Return netip.AddrPort
	// Reporter has an empty Platform if the upstreams do not report.
	Reporter upstream.ReporterOptions
	Targets  []upstream.Options
}

type upstreamsFile struct {
	Control netip.AddrPort `toml:"control"`
	Return  netip.AddrPort `toml:"return"`
	Report  struct {
		Platform string   `toml:"platform"`
		Interval duration `toml:"interval"`
		Lag      duration `toml:"lag"`
	} `toml:"report"`
	Targets []targetEntry `toml:"target"`
}

type targetEntry struct {
	ID          string         `toml:"id"`
	Address     netip.AddrPort `toml:"address"`
	Service     netip.AddrPort `toml:"service"`
	Protocol    protocol       `toml:"protocol"`
	Slots       int            `toml:"slots"`
	Connections int            `toml:"connections"`
	QueueLimit  int            `toml:"queue_limit"`
	ServiceTime duration       `toml:"service_time"`
	ColdStart   duration       `toml:"cold_start"`
}

const (
	defaultReportInterval = time.Second
	defaultQueueLimit     = 1000
)

// LoadUpstreams loads and validates the settings of a process of upstreams.
func LoadUpstreams(path string) (Upstreams, error) {
	var file upstreamsFile
	if err := load(path, &file); err != nil {
		return Upstreams{}, err
	}
	u := Upstreams{Control: file.Control, Return: file.Return}
	u.Reporter = upstream.ReporterOptions{
		Platform: file.Report.Platform,
		Interval: time.Duration(file.Report.Interval),
		Lag:      time.Duration(file.Report.Lag),
	}
	if u.Reporter.Interval <= 0 {
		u.Reporter.Interval = defaultReportInterval
	}
	errs := []error{requireAddress(u.Control, "control"), requireAddress(u.Return, "return")}
	for _, entry := range file.Targets {
		errs = append(errs, entry.validate())
		u.Targets = append(u.Targets, entry.options())
	}
	return u, errors.Join(errs...)
}

func (t targetEntry) validate() error {
	errs := []error{requireAddress(t.Address, "target.address of "+t.ID), requireAddress(t.Service, "target.service of "+t.ID)}
	if t.ID == "" || t.Slots < 1 || t.Connections < 1 || t.Protocol == 0 {
		errs = append(errs, errors.New("target "+t.ID+": id, protocol, slots and connections are required"))
	}
	return errors.Join(errs...)
}

func (t targetEntry) options() upstream.Options {
	o := upstream.Options{
		ID:          state.TargetID(t.ID),
		Address:     t.Address,
		Service:     t.Service,
		Protocol:    state.Protocol(t.Protocol),
		Slots:       t.Slots,
		Connections: t.Connections,
		QueueLimit:  t.QueueLimit,
		ServiceTime: time.Duration(t.ServiceTime),
		ColdStart:   time.Duration(t.ColdStart),
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	return o
}
