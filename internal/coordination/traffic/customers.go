package traffic

import (
	"cmp"
	"slices"

	"github.com/guavawharf/guavawharf/internal/coordination/admission"
	"github.com/guavawharf/guavawharf/internal/state"
)

// crowdedShareMilli is the part of the table, in thousandths of MaxRecords,
// above which customers with more than their share open no more flows.
const crowdedShareMilli = 700

// customerUsage knows what each customer uses of an engine.
type customerUsage struct {
	rate *admission.Rate
	// openFlows counts the flows that this host owns first, by service.
	openFlows map[state.ServiceNumber]int
	// shares is what each customer may hold of a crowded table, as of sharesAt.
	shares   map[state.CustomerID]flowShare
	sharesAt tick
}

// flowShare is a customer's use of the flow table.
type flowShare struct {
	openFlows int
	// limit is the customer's part of the table by weight.
	limit int
}

// newCustomerUsage returns customers without flows; perSecond bounds all new flows,
// 0 leaves them unbounded.
func newCustomerUsage(perSecond float64) *customerUsage {
	return &customerUsage{
		rate:      admission.NewRate(perSecond),
		openFlows: make(map[state.ServiceNumber]int),
		shares:    make(map[state.CustomerID]flowShare),
	}
}

// admit reports why a customer may not open one more flow now; ReasonNone if it
// may.
func (e *Engine) admit(customer state.CustomerID) Reason {
	c := e.customers
	if e.flowRecords() >= e.recordLimit(crowdedShareMilli) {
		share := e.flowShare(customer)
		if share.openFlows >= share.limit {
			return ReasonCustomerFlows
		}
		share.openFlows++
		c.shares[customer] = share
	}
	if !c.rate.Admit(e.now, customer, customerWeight(e.snap, customer)) {
		return ReasonCustomerRate
	}
	return ReasonNone
}

// customerWeight returns a customer's weight.
func customerWeight(snap *state.Snapshot, id state.CustomerID) uint32 {
	i, found := slices.BinarySearchFunc(snap.Customers, id, func(c state.Customer, id state.CustomerID) int {
		return cmp.Compare(c.ID, id)
	})
	if !found {
		return 1
	}
	return max(snap.Customers[i].Weight, 1)
}

// flowShare returns a customer's use of the table, computed once a tick.
func (e *Engine) flowShare(customer state.CustomerID) flowShare {
	c := e.customers
	if c.sharesAt != e.tick || len(c.shares) == 0 {
		c.sharesAt = e.tick
		e.computeShares()
	}
	share, known := c.shares[customer]
	if !known {
		share.limit = e.recordLimit(openingShareMilli)
	}
	return share
}

// computeShares divides the table by weight among the customers that have open
// flows. Copies for other owners take their part of it first.
func (e *Engine) computeShares() {
	shares := e.customers.shares
	clear(shares)
	owned := 0
	for number, open := range e.customers.openFlows {
		if entry := e.service(number); entry != nil && open > 0 {
			share := shares[entry.Customer]
			share.openFlows += open
			shares[entry.Customer] = share
			owned += open
		}
	}
	weights := 0
	for id := range shares {
		weights += int(customerWeight(e.snap, id))
	}
	capacity := e.recordLimit(openingShareMilli) * owned / max(e.flowRecords(), 1)
	for id, share := range shares {
		share.limit = capacity * int(customerWeight(e.snap, id)) / weights
		shares[id] = share
	}
}
