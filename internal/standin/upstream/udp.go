package upstream

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/standin/exchange"
	"github.com/guavawharf/guavawharf/internal/standin/wire"
)

// receiveDatagram runs the request of one datagram. Datagrams of one caller
// address form one flow, which the first of them opens.
func (t *Target) receiveDatagram(now time.Time, p wire.Packet) {
	if len(p.Payload) < exchange.RequestSize {
		t.counts.malformed.Add(1)
		return
	}
	request, err := exchange.DecodeRequest(p.Payload)
	if err != nil {
		t.counts.malformed.Add(1)
		return
	}
	if _, known := t.udpFlows[p.Source]; !known {
		t.countOpened(now)
	}
	t.udpFlows[p.Source] = now
	caller := p.Source
	t.submit(job{request: request, answer: func(a exchange.Answer) { t.answerDatagram(caller, a) }})
}

// answerDatagram sends an answer, shortened to one packet.
func (t *Target) answerDatagram(caller netip.AddrPort, a exchange.Answer) {
	a.Size = min(a.Size, wire.MaxPayload-exchange.AnswerHeaderSize)
	t.send(wire.Packet{Dest: caller, Payload: a.Encode()})
}

// expireUDPFlows ends the flows whose last request is older than lingerTime.
func (t *Target) expireUDPFlows(now time.Time) {
	for caller, last := range t.udpFlows {
		if now.Sub(last) > lingerTime {
			delete(t.udpFlows, caller)
			t.counts.open.Add(-1)
		}
	}
}
