package membership

import (
	"bytes"
	"encoding/gob"
	"net/rpc"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// envelope and ack have the form of the RPC layer's types that accompany a message.
type envelope struct {
	Version int
	From    state.Host
	Message any
}

type ack struct {
	Accepted bool
	Reason   string
}

// wireMeter measures the bytes that a host writes to its connections: net/rpc requests
// with their envelopes, and the responses to the requests that it receives.
type wireMeter struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	seq     uint64
}

func newWireMeter() *wireMeter {
	w := &wireMeter{}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

func (w *wireMeter) request(from state.Host, m message.Message) {
	w.seq++
	w.encode(rpc.Request{ServiceMethod: "Peer.Deliver", Seq: w.seq}, envelope{1, from, m})
}

func (w *wireMeter) response() {
	w.encode(rpc.Response{ServiceMethod: "Peer.Deliver", Seq: w.seq}, ack{Accepted: true})
}

func (w *wireMeter) encode(parts ...any) {
	for _, p := range parts {
		if err := w.encoder.Encode(p); err != nil {
			panic(err)
		}
	}
}

func init() {
	for _, r := range Messages() {
		gob.RegisterName(r.Name, r.Message)
	}
}
