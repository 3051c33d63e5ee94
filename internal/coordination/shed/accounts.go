package shed

import (
	"maps"
	"net/netip"
)

const (
	// fairFactor times the mean number of flows admitted for a client address, plus fairSlack,
	// is what an address may have had before it makes way for the others in an overload.
	fairFactor = 2
	fairSlack  = 3
	// maxAccounts bounds the client addresses whose flows are counted.
	maxAccounts = 4096
	// accountDecay is the factor by which the counts of admitted flows shrink a second.
	accountDecay = 0.5
	// minAccount is the count below which a client address is forgotten.
	minAccount = 0.1
)

// accounts count the new flows admitted lately by client address. They answer this load: in
// an overload one caller sends many times the requests of each other one and would be served
// at their cost.
type accounts struct {
	admitted map[netip.Addr]float64
	// total is the sum of the counts.
	total float64
}

// record counts an admitted flow.
func (a *accounts) record(client netip.Addr) {
	if a.admitted == nil {
		a.admitted = make(map[netip.Addr]float64)
	}
	if _, known := a.admitted[client]; !known && len(a.admitted) >= maxAccounts {
		return
	}
	a.admitted[client]++
	a.total++
}

// share returns the part of a limit up to which flows of a client are admitted: 1 unless the
// client has had more than its fair part of those admitted lately.
func (a *accounts) share(client netip.Addr) float64 {
	count := a.admitted[client]
	if count <= fairSlack {
		return 1
	}
	fair := fairFactor*a.total/float64(len(a.admitted)) + fairSlack
	return min(1, fair/count)
}

// decay lets the counts fade. It must run once a second.
func (a *accounts) decay() {
	a.total = 0
	for client, count := range a.admitted {
		a.admitted[client] = count * accountDecay
		a.total += count * accountDecay
	}
	maps.DeleteFunc(a.admitted, func(_ netip.Addr, count float64) bool { return count < minAccount })
}
