package edge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/hostlist"
	"github.com/guavawharf/guavawharf/internal/coordination/slowstart"
	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
)

// slowStartBound returns the bound for targets in their slow start.
func (e *Edge) slowStartBound() slowstart.Bound {
	return slowstart.Bound{Overage: e.settings.SlowStartOverage, Slack: e.settings.SlowStartSlack}
}

// sharesSlowStarts reports whether the hosts of a domain share out the slow starts of its
// targets, for which they need to know each other: the settings bound them and the
// configuration limits them.
func (e *Edge) sharesSlowStarts() bool {
	view := e.view.Load()
	return e.slowStartBound().Enabled() && view != nil && view.SlowStarts
}

// reportHosts returns what this host tells the one that it reads from about other hosts, nil
// for nothing.
func (r *peerServer) reportHosts() *hostlist.Report {
	if !r.edge.sharesSlowStarts() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.hosts.Report(r.edge.now())
	return &report
}

// answerHosts answers what a host that reads from this one tells about others. r.mu is held.
func (r *peerServer) answerHosts(now time.Duration, query peerapi.Query) hostlist.Answer {
	if query.Hosts == nil {
		return hostlist.Answer{}
	}
	from := hostlist.Host{Control: query.From, Domain: query.Domain}
	return r.hosts.HandleReport(now, now+r.pollerRetention, from, *query.Hosts)
}

// handleHosts takes the answer of the host that this one reads from.
func (r *peerServer) handleHosts(answer hostlist.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.HandleAnswer(r.edge.now(), answer)
	r.publishHosts()
}

// observeHostsAsRoot takes over what a host at the top of the tree knows: a seed that reads
// from no other host.
func (r *peerServer) observeHostsAsRoot(root bool) {
	if !r.edge.sharesSlowStarts() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts.SetRoot(root && slices.Contains(r.edge.settings.Seeds, r.edge.settings.Control))
	r.hosts.ObserveAsRoot(r.edge.now())
	r.publishHosts()
}

// publishHosts gives the list of the own domain to the traffic loop. r.mu is held.
func (r *peerServer) publishHosts() {
	hosts := r.hosts.Domain()
	known := r.edge.domainHosts.Load()
	if known == nil && hosts == nil || known != nil && slices.Equal(*known, hosts) {
		return
	}
	r.edge.domainHosts.Store(&hosts)
	r.edge.log.Info("hosts of this failure domain", "hosts", len(hosts))
}

// loadDomainHosts passes a new list of hosts to the engine.
func (t *traffic) loadDomainHosts() {
	if hosts := t.edge.domainHosts.Load(); hosts != t.domainHosts {
		t.domainHosts = hosts
		t.engine.SetDomainHosts(*hosts)
	}
}

// domainHostCount returns the number of hosts of this failure domain that are known.
func (e *Edge) domainHostCount() int {
	var hosts []netip.AddrPort
	if known := e.domainHosts.Load(); known != nil {
		hosts = *known
	}
	return len(hosts)
}
