package traffic

// Reasons. The comment says which verb each belongs to.
const (
	// ReasonNone is a packet forwarded or relayed in the ordinary way.
	ReasonNone Reason = iota

	// ReasonNotReady drops: no release is in force on this host, or an opening
	// reached it before it has caught up with the current one.
	ReasonNotReady
	// ReasonNoService drops: no service has the packet's destination.
	ReasonNoService
	// ReasonForeignHeader drops: the relay header does not fit its packet.
	ReasonForeignHeader
	// ReasonTooManyHops drops: the relay header's hop bound is reached.
	ReasonTooManyHops
	// ReasonNoHosts drops: the view holds no host to own the flow.
	ReasonNoHosts
	// ReasonUnsettled drops: an owner whose view or process is young cannot
	// refuse an opening or fall back for a flow without a record.
	ReasonUnsettled
	// ReasonCutOff drops: a failure domain vanished lately, and with it perhaps
	// the record of a flow.
	ReasonCutOff
	// ReasonSearchLimit drops: too many packets without a record.
	ReasonSearchLimit
	// ReasonUnknownTarget drops: the record's target is not known here.
	ReasonUnknownTarget
	// ReasonAddressReused drops: the target's address now serves another service.
	ReasonAddressReused
	// ReasonRefusedFlow drops: a packet in mid-flow of a refused opening.
	ReasonRefusedFlow

	// ReasonNoTarget refuses: no target of the service takes new flows.
	ReasonNoTarget
	// ReasonConnectionLimit refuses: every usable target is at its limit.
	ReasonConnectionLimit
	// ReasonTableFull refuses: the flow table takes no more openings.
	ReasonTableFull
	// ReasonCustomerRate refuses: the customer's share of new flows is used up.
	ReasonCustomerRate
	// ReasonCustomerFlows refuses: the customer's share of open flows is used up.
	ReasonCustomerFlows

	// ReasonToOwner relays to the first owner.
	ReasonToOwner
	// ReasonToSecond relays through the second owner.
	ReasonToSecond
	// ReasonToPrevious relays an opening to the owner before a recent change.
	ReasonToPrevious
	// ReasonSearch relays to the next host that may have the flow's record.
	ReasonSearch

	// ReasonMoved relays or forwards a retransmitted opening to another target
	// because its first one did not answer.
	ReasonMoved
	// ReasonFallback forwards without a record to the base table's target.
	ReasonFallback
	// ReasonNoCopy forwards an opening that only one host could record.
	ReasonNoCopy
	// ReasonSilentFlow resets: only retransmissions without progress.
	ReasonSilentFlow

	reasonCount
)

// reasonNames are the stable names used for counters.
var reasonNames = [reasonCount]string{
	ReasonNone:            "none",
	ReasonNotReady:        "not_ready",
	ReasonNoService:       "no_service",
	ReasonForeignHeader:   "foreign_header",
	ReasonTooManyHops:     "too_many_hops",
	ReasonNoHosts:         "no_hosts",
	ReasonUnsettled:       "unsettled",
	ReasonCutOff:          "cut_off",
	ReasonSearchLimit:     "search_limit",
	ReasonUnknownTarget:   "unknown_target",
	ReasonAddressReused:   "address_reused",
	ReasonRefusedFlow:     "refused_flow",
	ReasonNoTarget:        "no_target",
	ReasonConnectionLimit: "connection_limit",
	ReasonTableFull:       "table_full",
	ReasonCustomerRate:    "customer_rate",
	ReasonCustomerFlows:   "customer_flows",
	ReasonToOwner:         "to_owner",
	ReasonToSecond:        "to_second",
	ReasonToPrevious:      "to_previous",
	ReasonMoved:           "moved",
	ReasonSearch:          "search",
	ReasonFallback:        "fallback",
	ReasonNoCopy:          "no_copy",
	ReasonSilentFlow:      "silent_flow",
}

// String returns the stable name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// AllReasons returns every reason, for the edge to make one counter each.
func AllReasons() []Reason {
	reasons := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}
