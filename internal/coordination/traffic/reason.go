package traffic

// Reasons.
const (
	ReasonNone Reason = iota
)
