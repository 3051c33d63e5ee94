package state

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// FlowKey identifies a flow by its protocol, the client's address (Caller) and the
// service's address.
type FlowKey struct {
	Protocol Protocol
	Caller   netip.AddrPort
	Service  netip.AddrPort
}

// flowKeySize is the length of a key's canonical encoding in bytes: two 16-byte
// addresses with 2-byte ports, and the protocol.
const flowKeySize = 16 + 2 + 16 + 2 + 1

// Fingerprint is the 128-bit hash of a flow key. It is the same on every host.
type Fingerprint struct {
	High uint64
	Low  uint64
}

// Fingerprint returns the hash of the key's canonical encoding.
func (k FlowKey) Fingerprint() Fingerprint {
	var buf [flowKeySize]byte
	caller := k.Caller.Addr().As16()
	service := k.Service.Addr().As16()
	copy(buf[0:16], caller[:])
	binary.BigEndian.PutUint16(buf[16:18], k.Caller.Port())
	copy(buf[18:34], service[:])
	binary.BigEndian.PutUint16(buf[34:36], k.Service.Port())
	buf[36] = byte(k.Protocol)
	sum := xxh3.Hash128(buf[:])
	return Fingerprint{High: sum.Hi, Low: sum.Lo}
}
