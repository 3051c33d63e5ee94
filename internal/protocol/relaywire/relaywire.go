// Package relaywire encodes and decodes the datagrams between entry hosts. Package relay
// documents their layout.
package relaywire

import (
	"encoding/binary"

	"github.com/guavawharf/guavawharf/internal/coordination/relay"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Error is the reason why a datagram was rejected. Each has a counter.
type Error uint8

// Errors.
const (
	// ErrShort is a datagram shorter than the header.
	ErrShort Error = iota + 1
	// ErrVersion is a header of another version.
	ErrVersion
	// ErrKind is an unknown kind.
	ErrKind
	// ErrTooManyHops is a datagram with more hops than relay.MaxHops.
	ErrTooManyHops
	// ErrVerdict is an unknown verdict.
	ErrVerdict
	// ErrBody is a datagram of a packet kind without a packet, or one of a record kind
	// with bytes after the header.
	ErrBody
)

var errorNames = [...]string{
	0:              "none",
	ErrShort:       "relay_short",
	ErrVersion:     "relay_version",
	ErrKind:        "relay_kind",
	ErrTooManyHops: "relay_too_many_hops",
	ErrVerdict:     "relay_verdict",
	ErrBody:        "relay_body",
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
		return "relay_unknown"
	}
	return errorNames[e]
}

// Offsets of the fields in bytes.
const (
	offsetVersion         = 0
	offsetKind            = 1
	offsetHops            = 2
	offsetPosition        = 3
	offsetTarget          = 4
	offsetService         = 8
	offsetVerdict         = 12
	offsetReason          = 13
	offsetRetryAfter      = 14
	offsetFingerprintHigh = 16
	offsetFingerprintLow  = 24
)

// Put writes the header to the first relay.HeaderSize bytes of buf.
func Put(buf []byte, h relay.Header) {
	_ = buf[relay.HeaderSize-1]
	buf[offsetVersion] = relay.Version
	buf[offsetKind] = byte(h.Kind)
	buf[offsetHops] = h.Hops
	buf[offsetPosition] = h.Position
	binary.BigEndian.PutUint32(buf[offsetTarget:], uint32(h.Target))
	binary.BigEndian.PutUint32(buf[offsetService:], uint32(h.Service))
	buf[offsetVerdict] = byte(h.Verdict)
	buf[offsetReason] = h.Reason
	binary.BigEndian.PutUint16(buf[offsetRetryAfter:], h.RetryAfter)
	binary.BigEndian.PutUint64(buf[offsetFingerprintHigh:], h.Fingerprint.High)
	binary.BigEndian.PutUint64(buf[offsetFingerprintLow:], h.Fingerprint.Low)
}

// Append appends the datagram of a header and a packet to dst. The packet must be empty
// for record kinds.
func Append(dst []byte, h relay.Header, packet []byte) []byte {
	var buf [relay.HeaderSize]byte
	Put(buf[:], h)
	dst = append(dst, buf[:]...)
	return append(dst, packet...)
}

// Decode decodes a datagram. The returned packet is a slice of data and empty for record
// kinds. The error is an Error.
func Decode(data []byte) (relay.Header, []byte, error) {
	if len(data) < relay.HeaderSize {
		return relay.Header{}, nil, ErrShort
	}
	if data[offsetVersion] != relay.Version {
		return relay.Header{}, nil, ErrVersion
	}
	header := decodeHeader(data)
	packet := data[relay.HeaderSize:]
	if err := validate(header, packet); err != nil {
		return relay.Header{}, nil, err
	}
	return header, packet, nil
}

// CarriesPacket reports whether datagrams of the kind carry a client's packet.
func CarriesPacket(kind relay.Kind) bool {
	return kind == relay.KindOpening || kind == relay.KindPacket
}

func decodeHeader(data []byte) relay.Header {
	return relay.Header{
		Kind:       relay.Kind(data[offsetKind]),
		Hops:       data[offsetHops],
		Position:   data[offsetPosition],
		Target:     state.TargetNumber(binary.BigEndian.Uint32(data[offsetTarget:])),
		Service:    state.ServiceNumber(binary.BigEndian.Uint32(data[offsetService:])),
		Verdict:    relay.Verdict(data[offsetVerdict]),
		Reason:     data[offsetReason],
		RetryAfter: binary.BigEndian.Uint16(data[offsetRetryAfter:]),
		Fingerprint: state.Fingerprint{
			High: binary.BigEndian.Uint64(data[offsetFingerprintHigh:]),
			Low:  binary.BigEndian.Uint64(data[offsetFingerprintLow:]),
		},
	}
}

func validate(header relay.Header, packet []byte) error {
	if header.Kind < relay.KindOpening || header.Kind > relay.KindRecord {
		return ErrKind
	}
	if header.Hops > relay.MaxHops {
		return ErrTooManyHops
	}
	if header.Verdict > relay.VerdictRefuse {
		return ErrVerdict
	}
	if CarriesPacket(header.Kind) == (len(packet) == 0) {
		return ErrBody
	}
	return nil
}
