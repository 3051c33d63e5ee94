package peerlink

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/peerapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// BenchmarkMessageSize reports the bytes of a query for both kinds of objects, and of its
// reply without changes, as net/rpc encodes them on a connection in use.
func BenchmarkMessageSize(b *testing.B) {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	encode := func(values ...any) int {
		wire.Reset()
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				b.Fatal(err)
			}
		}
		return wire.Len()
	}
	host := netip.MustParseAddrPort("10.1.0.10:8166")
	query := peerapi.Query{Version: 1, From: host, Reads: []peerapi.Read{{Kind: "config", After: 1 << 30}, {Kind: "targets", After: 1 << 30}}}
	answer := peerapi.Answer{Known: true, Age: time.Second, Page: objects.Page{Revision: 1 << 30}}
	reply := peerapi.Reply{Answers: []peerapi.Answer{answer, answer}}
	request, response := 0, 0
	for b.Loop() {
		request = encode(rpc.Request{ServiceMethod: peerapi.MethodRead, Seq: 1000}, query)
		response = encode(rpc.Response{ServiceMethod: peerapi.MethodRead, Seq: 1000}, reply)
	}
	b.ReportMetric(float64(request), "request-B")
	b.ReportMetric(float64(response), "answer-B")
}
