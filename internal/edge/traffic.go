package edge

import (
	"errors"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/overload"
	"github.com/guavawharf/guavawharf/internal/coordination/steer"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/transport/udp"
	"github.com/guavawharf/guavawharf/platform"
)

// Timing of the traffic loop.
const (
	// startupWait bounds the wait for the first view that can serve. A start takes less if
	// the store answers.
	startupWait = 400 * time.Millisecond
	// maxIdleWait is the longest time between two checks for due work and a new view.
	maxIdleWait = time.Second
	// arrivalGrace lets packets that have already arrived be read before an overdue answer
	// counts as missing.
	arrivalGrace = time.Millisecond
)

// datagramSize is the buffer size for one datagram in bytes, one more than the largest
// datagram so that longer ones are detected.
const datagramSize = platform.LabelSize + platform.MaxPacketSize + 1

// packetBuffer holds a datagram with space for a label in front of it.
type packetBuffer struct {
	buf [datagramSize]byte
}

// Bytes implements udp.Buffer.
func (s *packetBuffer) Bytes() []byte { return s.buf[platform.LabelSize:] }

// traffic forwards packets in one goroutine, the traffic loop.
type traffic struct {
	edge    *Edge
	socket  *udp.Socket
	reader  *udp.Reader[*packetBuffer]
	writer  *udp.Writer
	engine  *steer.Engine
	view    *catalog.View
	checker *checker
	// domainHosts is the list of hosts that the engine has.
	domainHosts *[]netip.AddrPort
	// firstPacketAt is when the first packet of the current read was handled, packetsRead
	// the number of its packets, and idleSince when the work of the previous read ended.
	firstPacketAt time.Duration
	packetsRead   int
	idleSince     time.Duration
	meter         overload.Meter
	// inspections are requests for a snapshot of the loop's state.
	inspections chan chan trafficState
	verdicts    []steer.Verdict
	now         time.Duration
	// readDeadline is the read deadline that was set last, since the start of the process;
	// 0 once it has passed.
	readDeadline time.Duration
	// finishing is set once the loop is to end when no packet waits in the socket.
	finishing atomic.Bool
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
		reader:      udp.NewReader(socket, func() *packetBuffer { return new(packetBuffer) }),
		writer:      udp.NewWriter(socket),
		engine:      engine,
	}, nil
}

// finish makes run return once it has forwarded the packets that wait in the socket: a
// host that was short of processor time may not have read them yet.
func (t *traffic) finish() {
	t.finishing.Store(true)
	t.checker.wake()
}

// run forwards packets until finish or until the socket is closed. Packets that arrive before the host
// is ready wait in the socket for up to startupWait: a client retransmits a dropped
// packet only after 200 ms or more.
func (t *traffic) run() {
	select {
	case <-t.edge.firstReady:
	case <-time.After(startupWait):
	}
	settling := false
	for {
		t.setReadDeadline(settling)
		t.packetsRead = 0
		err := t.reader.Read(t.handlePacket)
		t.now = t.edge.now()
		t.handleCheckResults()
		t.drainAccepted()
		t.answerInspections()
		switch {
		case err == nil && settling:
			// Everything that had arrived is read. Under steady traffic a read never ends
			// without packets, so due work must not wait for that.
			t.handleDeadlines()
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.readDeadline = 0
			if settling && t.finishing.Load() {
				t.flush()
				return
			}
			if at, ok := t.engine.NextDeadline(); ok && at <= t.now && !settling {
				settling = true
				continue
			}
			t.handleDeadlines()
		case isClosed(err):
			return
		default:
			t.edge.log.Error("cannot read packets", "error", err.Error())
		}
		settling = t.finishing.Load()
		t.flush()
		t.measureLoad()
	}
}

// backloggedRead is the number of packets in one read at which they must have been
// queued: a read that waits ends with its first packet.
const backloggedRead = 8

// measureLoad records how long the packets of one read took, and requests to step aside
// if they take nearly all of the time.
func (t *traffic) measureLoad() {
	if t.packetsRead == 0 {
		return
	}
	from := t.firstPacketAt
	if t.packetsRead >= backloggedRead {
		from = t.idleSince
	}
	t.idleSince = t.edge.now()
	if t.meter.RecordWork(from, t.idleSince) {
		notify(t.edge.control.overloaded)
	}
}

// setReadDeadline sets the time at which the next read ends without a packet.
func (t *traffic) setReadDeadline(settling bool) {
	now := t.edge.now()
	deadline := now + maxIdleWait
	if at, ok := t.engine.NextDeadline(); ok {
		deadline = min(deadline, max(at, now)+arrivalGrace)
	}
	if settling {
		deadline = now + arrivalGrace
	}
	if deadline >= t.readDeadline && t.readDeadline > now && !t.hasQueuedRequests() {
		// The deadline set earlier ends the read soon enough.
		return
	}
	t.readDeadline = deadline
	if err := t.socket.SetReadDeadline(t.edge.start.Add(deadline)); err != nil && !isClosed(err) {
		t.edge.log.Error("cannot set the read deadline", "error", err.Error())
	}
	if t.hasQueuedRequests() {
		// Results and inspections queued since the last pass would otherwise wait until the
		// new deadline.
		t.checker.wake()
	}
}

// hasQueuedRequests reports whether check results, inspections or reports are queued.
func (t *traffic) hasQueuedRequests() bool {
	return len(t.checker.results)+len(t.inspections)+len(t.edge.control.reporter.accepted) > 0
}

// handleCheckResults passes the queued check results to the engine.
func (t *traffic) handleCheckResults() {
	for {
		select {
		case result := <-t.checker.results:
			t.engine.RecordCheck(t.now, result.target, result.outcome)
		default:
			return
		}
	}
}

// loadView passes the newest view, and the times of the newest reads of the configuration
// and of the targets, to the engine.
func (t *traffic) loadView() {
	// Loaded before the view, so that the view holds at least the data of these reads.
	configReadAt := time.Duration(t.edge.configReadAt.Load())
	targetsReadAt := time.Duration(t.edge.targetsReadAt.Load())
	if view := t.edge.view.Load(); view != t.view && view != nil {
		t.view = view
		t.engine.SetView(t.now, view)
	}
	t.engine.SetConfigReadAt(configReadAt)
	t.engine.SetTargetsReadAt(targetsReadAt)
	t.loadDomainHosts()
}

// handlePacket handles one datagram. The buffer may be reused after the next flush, which
// comes before the next read.
func (t *traffic) handlePacket(d udp.Datagram[*packetBuffer]) bool {
	t.now = t.edge.now()
	if t.packetsRead == 0 {
		t.firstPacketAt = t.now
	}
	t.packetsRead++
	t.loadView()
	t.edge.lastPacket.Store(int64(t.now))
	packet, err := platform.DecodePacket(d.Buffer.Bytes()[:d.Size])
	if err != nil || d.Truncated {
		t.edge.recordBadPacket(d.From, d.Size, err)
		return false
	}
	verdict := t.engine.HandlePacket(t.now, &packet)
	t.edge.metrics.countVerdict(verdict)
	if packet.SYN {
		t.edge.metrics.decisionTime.Update((t.edge.now() - t.now).Seconds())
	}
	t.execute(verdict, d.Buffer.buf[:platform.LabelSize+d.Size])
	if verdict.Reason != steer.ReasonEstablished {
		t.edge.logVerdict(verdict, packet.Client, packet.Service, packet.Cookie)
	}
	return false
}

// handleDeadlines executes the verdicts that have become due. It is called only after all
// packets that had arrived were read.
func (t *traffic) handleDeadlines() {
	t.loadView()
	if t.view == nil {
		return
	}
	t.verdicts = t.engine.HandleDeadlines(t.now, t.verdicts[:0])
	for _, verdict := range t.verdicts {
		t.edge.metrics.countVerdict(verdict)
		t.execute(verdict, nil)
		t.edge.logVerdict(verdict, verdict.Client, verdict.Service, 0)
	}
}

func (t *traffic) flush() {
	if failed := t.writer.Flush(); failed > 0 {
		t.edge.metrics.sendFailed.Add(failed)
		t.edge.log.Warn("datagrams not sent", "count", failed)
	}
	for _, check := range t.engine.DrainChecks() {
		if !t.checker.start(check) {
			t.engine.RecordCheck(t.now, check.Target, steer.CheckInconclusive)
		}
	}
	t.edge.control.requestReads(t.engine.DrainReadRequests())
	for _, change := range t.engine.DrainHealthChanges() {
		t.edge.logHealthChange(change)
		if change.Report {
			t.edge.control.reporter.reportDown(change.ID)
		}
	}
	t.edge.metrics.countDecisions(t.engine.DrainOutcomes())
	for _, change := range t.engine.DrainOverloadChanges() {
		t.edge.logOverloadChange(change)
	}
	t.edge.setUnreachable(t.engine.Unreachable(t.now))
}
