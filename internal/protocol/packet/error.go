package packet

// Error is the reason why a packet was rejected. Each has a counter.
type Error uint8

// Errors.
const (
	// ErrTruncated is a packet shorter than its headers state.
	ErrTruncated Error = iota + 1
	// ErrMalformed is a packet whose header fields contradict each other.
	ErrMalformed
	// ErrVersion is a packet that is neither IPv4 nor IPv6.
	ErrVersion
	// ErrChecksum is an IPv4 header with a wrong checksum.
	ErrChecksum
	// ErrFragment is an IP fragment.
	ErrFragment
	// ErrProtocol is a packet that is neither TCP nor UDP.
	ErrProtocol
	// ErrAddress is a packet from or to an address that no flow can have: a multicast or
	// unspecified address, or port 0.
	ErrAddress
	// ErrFlags is a TCP segment with a combination of flags that no flow has.
	ErrFlags
	// ErrNotAnswerable is a packet that must not get the requested refusal or reset.
	ErrNotAnswerable
)

var errorNames = [...]string{
	0:                "none",
	ErrTruncated:     "packet_truncated",
	ErrMalformed:     "packet_malformed",
	ErrVersion:       "packet_ip_version",
	ErrChecksum:      "packet_checksum",
	ErrFragment:      "packet_fragment",
	ErrProtocol:      "packet_protocol",
	ErrAddress:       "packet_address",
	ErrFlags:         "packet_tcp_flags",
	ErrNotAnswerable: "packet_not_answerable",
}

// Errors returns every error of this package.
func Errors() []Error {
	errs := make([]Error, 0, len(errorNames)-1)
	for i := 1; i < len(errorNames); i++ {
		errs = append(errs, Error(i))
	}
	return errs
}

// Error returns the name of the error's counter, which is stable.
func (e Error) Error() string {
	if int(e) >= len(errorNames) {
		return "packet_unknown"
	}
	return errorNames[e]
}
