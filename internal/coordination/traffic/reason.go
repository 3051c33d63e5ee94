package traffic

// Reasons. Each comment starts with the action that the reason belongs to.
const (
	// ReasonNone is the reason of packets that are forwarded in the ordinary way.
	ReasonNone Reason = iota

	// ReasonNotReady drops: no release is in force on this host, or an opening
	// arrived before the host has caught up with the current one.
	ReasonNotReady
	// ReasonNoService drops: no service has the packet's destination.
	ReasonNoService
	// ReasonForeignHeader drops: the relay header does not belong to its packet.
	ReasonForeignHeader
	// ReasonTooManyHops drops: the relay header's hop limit is reached.
	ReasonTooManyHops
	// ReasonNoHosts drops: the view has no host that could own the flow.
	ReasonNoHosts
	// ReasonUnsettled drops: the process, its view or the owners of the flow are too
	// new for this host to refuse an opening or to fall back for a mid-flow packet.
	ReasonUnsettled
	// ReasonCutOff drops: a failure domain was lost recently, possibly with the
	// record of the flow.
	ReasonCutOff
	// ReasonSearchLimit drops: too many packets without a record.
	ReasonSearchLimit
	// ReasonUnknownTarget drops: this host does not know the record's target.
	ReasonUnknownTarget
	// ReasonAddressReused drops: the address of the target or of the service was
	// reused by another service.
	ReasonAddressReused
	// ReasonRefusedFlow drops: a mid-flow packet of a refused flow.
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
	// ReasonToSecond relays through the other owner of the flow.
	ReasonToSecond
	// ReasonToPrevious relays an opening to the owner before a recent change.
	ReasonToPrevious
	// ReasonSearch relays to the next host that may have the flow's record.
	ReasonSearch

	// ReasonMoved relays or forwards a retransmitted opening to another target
	// because its first target did not answer.
	ReasonMoved
	// ReasonFallback forwards without a record to the base table's target.
	ReasonFallback
	// ReasonNoCopy forwards an opening that only one host could record.
	ReasonNoCopy
	// ReasonSilentFlow resets: the caller only retransmits, without progress.
	ReasonSilentFlow

	reasonCount
)

// reasonNames holds the stable names used for counters.
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

// AllReasons returns every reason, so that a counter can be created for each.
func AllReasons() []Reason {
	reasons := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}
