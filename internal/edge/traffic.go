package edge

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/overload"
	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
	"github.com/guavawharf/guavawharf/platform"
)

// Timing of the traffic loop.
const (
	// holdAtStart bounds the wait for the first view: a start takes less where the
	// store answers.
	holdAtStart = 400 * time.Millisecond
	// idleWake is the longest time between two looks at flows and settings.
	idleWake = time.Second
	// settleTime lets packets that already arrived be read before an overdue
	// answer counts as missing.
	settleTime = time.Millisecond
)

// datagramSize is the room for one datagram in bytes, one more than the largest
// so that longer ones are noticed.
const datagramSize = platform.LabelSize + platform.MaxPacketSize + 1

// slot holds a datagram with room for a label ahead of it.
type slot struct {
	buf [datagramSize]byte
}

// Space implements udp.Slot.
func (s *slot) Space() []byte { return s.buf[platform.LabelSize:] }

// traffic forwards packets in one goroutine.
type traffic struct {
	edge    *Edge
	socket  *udp.Socket
	reader  *udp.Reader[*slot]
	writer  *udp.Writer
	engine  *steer.Engine
	view    *catalog.View
	checker *checker
	// woken is when the first packet of the read at hand was taken, taken their number,
	// and idleFrom when the work on the read before was done.
	woken    time.Duration
	taken    int
	idleFrom time.Duration
	meter    overload.Meter
	// inspections are questions for the loop's state.
	inspections chan chan trafficState
	verdicts    []steer.Verdict
	now         time.Duration
	// wake is the read deadline that was set last.
	wake time.Duration
}

func newTraffic(e *Edge, socket *udp.Socket, engine *steer.Engine) (*traffic, error) {
	checker, err := newChecker(e, socket)
	if err != nil {
		return nil, err
	}
	return &traffic{
		checker:     checker,
		inspections: make(chan chan trafficState, 1),
		edge:        e,
		socket:      socket,
		reader:      udp.NewReader(socket, func() *slot { return new(slot) }),
		writer:      udp.NewWriter(socket),
		engine:      engine,
	}, nil
}

// run forwards until the socket is closed. Packets that arrive before the host
// knows where they go wait in the socket for a while: a client repeats what is
// dropped only after 200 ms or more.
func (t *traffic) run() {
	select {
	case <-t.edge.firstReady:
	case <-time.After(holdAtStart):
	}
	settling := false
	for {
		t.setWake(settling)
		t.taken = 0
		err := t.reader.Read(t.take)
		t.now = t.edge.now()
		t.takeChecked()
		t.answerInspections()
		switch {
		case err == nil && settling:
			// What had arrived is read; more may always come.
			t.due()
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.wake = 0
			if at, ok := t.engine.NextDue(); ok && at <= t.now && !settling {
				settling = true
				continue
			}
			t.due()
		case isClosed(err):
			return
		default:
			t.edge.log.Error("packets not read", "error", err.Error())
		}
		settling = false
		t.flush()
		t.meterWork()
	}
}

// crowdedRead is the number of packets of one read that shows that nobody waited for
// them: a waiting read ends with the first one.
const crowdedRead = 8

// meterWork notes how long the packets of one read took, and asks to step aside if they
// take nearly all of the time.
func (t *traffic) meterWork() {
	if t.taken == 0 {
		return
	}
	from := t.woken
	if t.taken >= crowdedRead {
		from = t.idleFrom
	}
	t.idleFrom = t.edge.now()
	if t.meter.RecordWork(from, t.idleFrom) {
		signal(t.edge.control.overloaded)
	}
}

// setWake sets the time at which the next read ends without a packet.
func (t *traffic) setWake(settling bool) {
	now := t.edge.now()
	wake := now + idleWake
	if at, ok := t.engine.NextDue(); ok {
		wake = min(wake, max(at, now)+settleTime)
	}
	if settling {
		wake = now + settleTime
	}
	if wake >= t.wake && t.wake > now && !t.asked() {
		// The deadline set before ends the read early enough.
		return
	}
	t.wake = wake
	if err := t.socket.StopReading(t.edge.start.Add(wake)); err != nil && !isClosed(err) {
		t.edge.log.Error("read deadline not set", "error", err.Error())
	}
	if t.asked() {
		// What came just now has been overlooked by the last pass.
		t.checker.wake()
	}
}

// asked tells that results of checks or questions wait.
func (t *traffic) asked() bool { return len(t.checker.results)+len(t.inspections) > 0 }

// takeChecked hands the results of checks to the engine.
func (t *traffic) takeChecked() {
	for {
		select {
		case result := <-t.checker.results:
			t.engine.Checked(t.now, result.target, result.proof)
		default:
			return
		}
	}
}

// refresh takes the newest view.
func (t *traffic) refresh() {
	// Before the view: it holds at least what that read brought.
	read := time.Duration(t.edge.targetsRead.Load())
	if view := t.edge.view.Load(); view != t.view && view != nil {
		t.view = view
		t.engine.SetView(t.now, view)
	}
	t.engine.SetTargetsRead(read)
}

// take handles one datagram. The slot is free again after the next flush, which
// comes before the next read.
func (t *traffic) take(d udp.Datagram[*slot]) bool {
	t.now = t.edge.now()
	if t.taken == 0 {
		t.woken = t.now
	}
	t.taken++
	t.refresh()
	t.edge.lastPacket.Store(int64(t.now))
	packet, err := platform.DecodePacket(d.Slot.Space()[:d.Size])
	if err != nil || d.Truncated {
		t.edge.noteBadPacket(d.From, d.Size, err)
		return false
	}
	verdict := t.engine.Packet(t.now, &packet)
	t.edge.metrics.verdict(verdict)
	if packet.Opening {
		t.edge.metrics.decided.Update((t.edge.now() - t.now).Seconds())
	}
	t.carryOut(verdict, d.Slot.buf[:platform.LabelSize+d.Size])
	if verdict.Reason != steer.ReasonEstablished {
		t.edge.logVerdict(verdict, packet.Client, packet.Service, packet.Cookie)
	}
	return false
}

// carryOut sends what a verdict says. The datagram holds the packet that it was
// asked for; an opening is sent from a copy, since it may be sent again.
func (t *traffic) carryOut(v steer.Verdict, datagram []byte) {
	switch {
	case v.Action == steer.ActionForward && v.Opening:
		t.sendOpening(v)
	case v.Action == steer.ActionForward:
		platform.PutLabel(datagram, v.Target.ID)
		t.writer.Add(datagram, v.Target.Address)
	case v.Action == steer.ActionReset:
		t.sendReset(v)
	}
}

func (t *traffic) sendOpening(v steer.Verdict) {
	datagram := make([]byte, platform.LabelSize, platform.LabelSize+len(v.Raw))
	platform.PutLabel(datagram, v.Target.ID)
	datagram = append(datagram, v.Raw...)
	platform.PutCookie(datagram[platform.LabelSize:], v.Target.ID.Cookie())
	t.writer.Add(datagram, v.Target.Address)
}

func (t *traffic) sendReset(v steer.Verdict) {
	datagram := platform.AppendReset(nil, v.Client, v.Service, v.Seq)
	to := netip.AddrPortFrom(v.Client.Addr(), t.edge.settings.Packets.Port())
	t.writer.Add(datagram, to)
}

// due decides about what became due, now that every packet was read.
func (t *traffic) due() {
	t.refresh()
	if t.view == nil {
		return
	}
	t.verdicts = t.engine.Due(t.now, t.verdicts[:0])
	for _, verdict := range t.verdicts {
		t.edge.metrics.verdict(verdict)
		t.carryOut(verdict, nil)
		t.edge.logVerdict(verdict, verdict.Client, verdict.Service, 0)
	}
}

func (t *traffic) flush() {
	if failed := t.writer.Flush(); failed > 0 {
		t.edge.metrics.sendFailed.Add(failed)
		t.edge.log.Warn("datagrams not sent", "count", failed)
	}
	for _, check := range t.engine.TakeChecks() {
		if !t.checker.start(check) {
			t.engine.Checked(t.now, check.Target, steer.ProofAlive)
		}
	}
	if t.engine.TakeReadWanted() {
		t.edge.control.hurryTargets()
	}
	for _, belief := range t.engine.TakeBeliefs() {
		t.edge.logBelief(belief)
	}
}
