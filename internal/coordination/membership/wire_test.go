package membership

import (
	"bytes"
	"encoding/gob"
	"net/rpc"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// envelope and ack stand for what the rpc edge sends with a message.
type envelope struct {
	Version int
	From    state.Host
	Message any
}

type ack struct {
	Accepted bool
	Reason   string
}

// wire measures what a host writes to its connections: net/rpc requests with
// their envelopes, and the responses to the requests it receives.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	seq     uint64
}

func newWire() *wire {
	w := &wire{}
	w.encoder = gob.NewEncoder(&w.buffer)
	return w
}

func (w *wire) request(from state.Host, m message.Message) {
	w.seq++
	w.encode(rpc.Request{ServiceMethod: "Peer.Deliver", Seq: w.seq}, envelope{1, from, m})
}

func (w *wire) response() {
	w.encode(rpc.Response{ServiceMethod: "Peer.Deliver", Seq: w.seq}, ack{Accepted: true})
}

func (w *wire) encode(parts ...any) {
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
