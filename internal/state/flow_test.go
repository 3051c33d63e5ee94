package state

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintDistinguishesFlows(t *testing.T) {
	key := FlowKey{
		Protocol: TCP,
		Caller:   netip.MustParseAddrPort("192.0.2.1:40000"),
		Service:  netip.MustParseAddrPort("198.51.100.1:443"),
	}
	other := key
	other.Caller = netip.MustParseAddrPort("192.0.2.1:40001")
	require.Equal(t, key.Fingerprint(), key.Fingerprint())
	require.NotEqual(t, key.Fingerprint(), other.Fingerprint())
	other = key
	other.Protocol = UDP
	require.NotEqual(t, key.Fingerprint(), other.Fingerprint())
}
