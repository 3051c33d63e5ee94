package traffic

import (
	"cmp"
	"slices"

	"github.com/guavawharf/guavawharf/internal/coordination/admission"
	"github.com/guavawharf/guavawharf/internal/state"
)

// crowdedShareMilli is the part of the table, in thousandths of MaxRecords,
// above which customers that exceed their share may open no more flows.
const crowdedShareMilli = 700

// customerUsage holds what each customer uses of an engine.
type customerUsage struct {
	rate *admission.RateLimiter
	// openFlows counts the flows of which this host is first owner, by service.
	openFlows map[state.ServiceNumber]int
	// shares holds each customer's use of a crowded table, computed at sharesAt.
	shares   map[state.CustomerID]flowShare
	sharesAt tick
}

// flowShare is a customer's use of the flow table.
type flowShare struct {
	openFlows int
	// limit is the customer's part of the table by weight.
	limit int
}

// newCustomerUsage returns the usage without any flows. perSecond limits the rate
// of all new flows; 0 means no limit.
func newCustomerUsage(perSecond float64) *customerUsage {
	return &customerUsage{
		rate:      admission.NewRateLimiter(perSecond),
		openFlows: make(map[state.ServiceNumber]int),
		shares:    make(map[state.CustomerID]flowShare),
	}
}

// admit returns why a customer may not open one more flow now, or ReasonNone.
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

// customerWeight returns a customer's weight, which is at least 1.
func customerWeight(snap *state.Snapshot, id state.CustomerID) uint32 {
	i, found := slices.BinarySearchFunc(snap.Customers, id, func(c state.Customer, id state.CustomerID) int {
		return cmp.Compare(c.ID, id)
	})
	if !found {
		return 1
	}
	return max(snap.Customers[i].Weight, 1)
}

// flowShare returns a customer's use of the table, computed once per tick.
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

// computeShares divides the table by weight among the customers with open flows,
// after subtracting the part that copies for other owners take.
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
