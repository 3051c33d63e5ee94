// Package hostlist tells each host which hosts there are in its failure domain. Hosts know
// whom they read from and who reads from them. Lists of hosts pass up that tree with each
// read, and the list of the reader's domain comes back with the answer. It answers no load
// by itself: what hosts of a domain share out among themselves needs the list.
//
// A list that lacks hosts would give a host too large a share, so lists grow at once and
// shrink late, and a host without a list that holds itself has none.
package hostlist

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
)

const (
	// removeAfter is how long a host stays in the list of a domain after the host that is
	// read from no longer lists it.
	removeAfter = 10 * time.Second
	// settleTime is how long after its start a host doesn't answer with a list: the others
	// have told it of all hosts by then.
	settleTime = 10 * time.Second
)

// Host is a host with its failure domain.
type Host struct {
	Control netip.AddrPort
	Domain  state.DomainID
}

// compare orders hosts by address.
func compare(a, b Host) int { return a.Control.Compare(b.Control) }

// Digest returns a digest of a sorted list, 0 for an empty one.
func Digest(hosts []Host) uint64 {
	if len(hosts) == 0 {
		return 0
	}
	hash := fnv.New64a()
	for _, host := range hosts {
		address := host.Control.Addr().As16()
		port := binary.BigEndian.AppendUint16(nil, host.Control.Port())
		// A hash never fails to write.
		_, _ = hash.Write(append(append(address[:], port...), host.Domain...))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// List is what one host knows of the others. It is not safe for concurrent use. Times are
// counted from the start of the process.
type List struct {
	self Host
	// root is set if the host may answer without a list of a host that it reads from.
	root bool
	// readers are the hosts that read from this one, with all below them.
	readers map[netip.AddrPort]reader
	// domain holds the hosts of the own domain and when the host that is read from last
	// listed them. confirmedAt is when it last listed this host, listed whether it ever did.
	domain      map[netip.AddrPort]time.Duration
	confirmedAt time.Duration
	listed      bool
	// sentDigest is that of the list that the host sent last.
	sentDigest uint64
	// above is the list from the host that is read from, for the domains of the hosts below.
	above       []Host
	aboveDigest uint64
}

type reader struct {
	hosts  []Host
	digest uint64
	until  time.Duration
}

// New returns the list of a host that knows only itself.
func New(self Host) *List {
	return &List{
		self:    self,
		readers: make(map[netip.AddrPort]reader),
		domain:  make(map[netip.AddrPort]time.Duration),
	}
}

// SetRoot sets whether others may rely on this host as the top of the tree.
func (l *List) SetRoot(root bool) { l.root = root }

// Report is what a host tells the one that it reads from.
type Report struct {
	// Digest is that of the hosts below and including the reporting one. Hosts holds them,
	// nil if they have not changed since the last report.
	Digest uint64
	Hosts  []Host
	// Known is the digest of the list that the reporting host has got.
	Known uint64
}

// Answer answers a Report.
type Answer struct {
	// Settled is set if the list is complete; the other fields are to be ignored if not.
	Settled bool
	// Digest is that of the list of all hosts of the domains that the reporting host and
	// those below it are in, Hosts the list, nil if the reporting host has it.
	Digest uint64
	Hosts  []Host
	// Resend asks for the hosts of the report, which are not known here.
	Resend bool
}

// below returns the hosts that read from this one, with all below them and itself, sorted.
func (l *List) below(now time.Duration) []Host {
	hosts := []Host{l.self}
	for address, r := range l.readers {
		if now >= r.until {
			delete(l.readers, address)
			continue
		}
		hosts = append(hosts, r.hosts...)
	}
	slices.SortFunc(hosts, compare)
	return slices.Compact(hosts)
}

// Report returns the report for the host that is read from.
func (l *List) Report(now time.Duration) Report {
	hosts := l.below(now)
	report := Report{Digest: Digest(hosts), Known: l.aboveDigest}
	if report.Digest != l.sentDigest {
		report.Hosts = hosts
	}
	l.sentDigest = report.Digest
	return report
}

// HandleReport records the report of a host that reads from this one, which counts until
// the given time, and answers it.
func (l *List) HandleReport(now, until time.Duration, from Host, report Report) Answer {
	known := l.readers[from.Control]
	if report.Hosts != nil {
		known = reader{hosts: report.Hosts, digest: Digest(report.Hosts)}
	}
	known.until = until
	resend := known.digest != report.Digest
	if resend {
		known.hosts = []Host{from}
	}
	l.readers[from.Control] = known
	answer := Answer{Resend: resend}
	all, settled := l.all(now)
	if !settled {
		return answer
	}
	answer.Settled = true
	hosts := inDomainsOf(all, known.hosts)
	answer.Digest = Digest(hosts)
	if answer.Digest != report.Known {
		answer.Hosts = hosts
	}
	return answer
}

// all returns all hosts of the tree, and whether the list is complete.
func (l *List) all(now time.Duration) ([]Host, bool) {
	if now < settleTime {
		return nil, false
	}
	if l.root {
		return l.below(now), true
	}
	return l.above, l.listed
}

// inDomainsOf returns the hosts that are in the domain of any of the others.
func inDomainsOf(hosts, others []Host) []Host {
	domains := make(map[state.DomainID]bool)
	for _, host := range others {
		domains[host.Domain] = true
	}
	var found []Host
	for _, host := range hosts {
		if domains[host.Domain] {
			found = append(found, host)
		}
	}
	return found
}

// HandleAnswer records the answer of the host that is read from.
func (l *List) HandleAnswer(now time.Duration, answer Answer) {
	if answer.Resend {
		l.sentDigest = 0
	}
	if !answer.Settled {
		return
	}
	if answer.Hosts != nil || answer.Digest == 0 {
		l.above, l.aboveDigest = answer.Hosts, answer.Digest
	}
	l.observe(now, l.above)
}

// observe records a complete list of the own domain.
func (l *List) observe(now time.Duration, hosts []Host) {
	for _, host := range hosts {
		if host.Domain == l.self.Domain {
			l.domain[host.Control] = now
		}
	}
	if slices.Contains(hosts, l.self) {
		l.confirmedAt = now
		l.listed = true
	}
	for address, seen := range l.domain {
		if now-seen >= removeAfter {
			delete(l.domain, address)
		}
	}
}

// ObserveAsRoot records the list that a root knows by itself. It must run as often as other
// hosts read.
func (l *List) ObserveAsRoot(now time.Duration) {
	if all, settled := l.all(now); settled && l.root {
		l.observe(now, all)
	}
}

// Domain returns the hosts of the own failure domain, sorted; nil if they are not known.
func (l *List) Domain() []netip.AddrPort {
	if !l.listed {
		return nil
	}
	hosts := make([]netip.AddrPort, 0, len(l.domain))
	for address := range l.domain {
		hosts = append(hosts, address)
	}
	slices.SortFunc(hosts, netip.AddrPort.Compare)
	return hosts
}
