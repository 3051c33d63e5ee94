package edge

import (
	"net/netip"

	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/platform"
)

// execute sends the packets that a verdict calls for. datagram holds the packet that was
// decided about, with space for its label; nil if the verdict holds its packet itself. A SYN
// is sent from a copy, since it may be sent again later.
func (t *traffic) execute(v steer.Verdict, datagram []byte) {
	switch {
	case v.Action == steer.ActionForward && v.SYN:
		t.sendSYN(v)
	case v.Action == steer.ActionForward && datagram == nil:
		t.writer.Add(labelled(v), v.Target.Address)
	case v.Action == steer.ActionForward:
		platform.PutLabel(datagram, v.Target.ID)
		t.writer.Add(datagram, v.Target.Address)
	case v.Action == steer.ActionReset:
		t.sendReset(v)
	}
}

func (t *traffic) sendSYN(v steer.Verdict) {
	datagram := labelled(v)
	platform.PutCookie(datagram[platform.LabelSize:], v.Target.ID.Cookie())
	t.writer.Add(datagram, v.Target.Address)
}

// labelled returns a copy of the verdict's packet behind the label of its target.
func labelled(v steer.Verdict) []byte {
	datagram := make([]byte, platform.LabelSize, platform.LabelSize+len(v.Raw))
	platform.PutLabel(datagram, v.Target.ID)
	return append(datagram, v.Raw...)
}

func (t *traffic) sendReset(v steer.Verdict) {
	datagram := platform.AppendReset(nil, v.Client, v.Service, v.Seq)
	to := netip.AddrPortFrom(v.Client.Addr(), t.edge.settings.Packets.Port())
	t.writer.Add(datagram, to)
}
