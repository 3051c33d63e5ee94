package steer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

// unreadModel is a store's truth and hosts that read it at times of their own. The operator
// removes a route and puts it back, the target starts again under its ID, hosts start again.
type unreadModel struct {
	t   *rapid.T
	now time.Duration
	// config and target are the truth, removed counts the removals of the route.
	// absent is set while the target is away: it holds no flow, and has no entry.
	config  catalog.Config
	target  catalog.Target
	absent  bool
	removed int
	hosts   []*unreadHost
	flows   []*modelFlow
	// openings are the SYNs without an answer, clients counts the clients.
	openings []*modelOpening
	clients  int
	// resets counts those of flows that have ended.
	resets int
}

// unreadHost is a host and a read of each kind that is on its way.
type unreadHost struct {
	engine    *Engine
	directory *catalog.Directory
	config    *pendingRead
	targets   *pendingRead
}

// pendingRead is what a read that was requested at a time will return.
type pendingRead struct {
	requested time.Duration
	config    catalog.Config
	target    catalog.Target
	absent    bool
}

// modelFlow is a flow that is open at a start of the target, with the removals of its route
// until then.
type modelFlow struct {
	client  netip.AddrPort
	seq     uint32
	start   int64
	removed int
}

// modelOpening is a SYN that its client sends again after 200 ms and after 600 ms.
type modelOpening struct {
	syn    Packet
	sent   time.Duration
	copies int
}

const modelHosts = 3

// neverRouted is the removals of a flow that was opened while there was no route.
const neverRouted = -1

func newUnreadModel(t *rapid.T) *unreadModel {
	m := &unreadModel{t: t, now: time.Second, target: newTarget(2, "a", proofPool)}
	m.setRoute(true)
	for range modelHosts {
		m.hosts = append(m.hosts, m.startedHost())
	}
	return m
}

// setRoute writes the next version of the configuration.
func (m *unreadModel) setRoute(present bool) {
	next := catalog.Config{Version: m.config.Version + 1}
	if present {
		next.Routes = []catalog.Route{{Name: "proof", Address: proofAddress, Idempotent: true, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}}}
	}
	m.config = next
}

// startedHost returns a host that has just read everything.
func (m *unreadModel) startedHost() *unreadHost {
	random := rand.New(rand.NewPCG(1, uint64(m.now)))
	h := &unreadHost{
		engine:    NewEngine("a", random.Float64),
		directory: catalog.NewDirectory(catalog.Settings{DepartedRetention: time.Minute, OutageGrace: 100 * time.Millisecond}),
	}
	m.finishRead(h, m.startRead(), true, true)
	return h
}

func (m *unreadModel) startRead() *pendingRead {
	return &pendingRead{requested: m.now, config: m.config, target: m.target, absent: m.absent}
}

// finishRead has a host learn what a read has returned of each kind.
func (m *unreadModel) finishRead(h *unreadHost, read *pendingRead, config, targets bool) {
	if config {
		h.directory.SetConfig(read.config)
		h.engine.SetConfigReadAt(read.requested)
	}
	if targets {
		if !read.absent {
			h.directory.Put(m.now, read.target)
		}
		h.directory.RemoveUnlisted(m.now, map[string]bool{read.target.Name: !read.absent})
		h.engine.SetTargetsReadAt(read.requested)
	}
	view, _ := h.directory.View(m.now)
	h.engine.SetView(m.now, view)
}

// work has a host do what is due: reads, checks and retries.
func (m *unreadModel) work(h *unreadHost, storeAnswers bool) {
	requests := h.engine.DrainReadRequests()
	if requests.Config && h.config == nil {
		h.config = m.startRead()
	}
	if requests.Targets && h.targets == nil {
		h.targets = m.startRead()
	}
	for _, check := range h.engine.DrainChecks() {
		outcome := CheckRefused
		if check.Address == m.target.Address && !m.absent {
			outcome = CheckPassed
		}
		h.engine.RecordCheck(m.now, check.Target, outcome)
	}
	for _, verdict := range h.engine.HandleDeadlines(m.now, nil) {
		m.judge(verdict)
	}
	if !storeAnswers {
		return
	}
	if h.config != nil {
		m.finishRead(h, h.config, true, false)
		h.config = nil
	}
	if h.targets != nil {
		m.finishRead(h, h.targets, false, true)
		h.targets = nil
	}
}

// judge fails if a verdict resets a flow whose target holds it and whose route was never
// removed since it was opened.
func (m *unreadModel) judge(verdict Verdict) {
	if verdict.Action != ActionReset {
		return
	}
	for _, f := range m.flows {
		if f.client != verdict.Client {
			continue
		}
		if f.start == m.target.StartMillis && f.removed == m.removed {
			m.t.Fatalf("flow %v reset: %s; it is open at the target, and its route was never removed", f.client, verdict.Reason)
		}
		m.resets++
	}
}

// send has a flow's next packet go through a host.
func (m *unreadModel) send(h *unreadHost, f *modelFlow, length int) {
	p := Packet{Client: f.client, Service: proofAddress, Cookie: m.target.ID.Cookie(), Seq: f.seq, Ack: 5000, Length: length, Raw: []byte("packet")}
	m.judge(h.engine.HandlePacket(m.now, &p))
}

// open has a client send a SYN through a host, and go on through another one.
func (m *unreadModel) open(through, then *unreadHost) {
	m.clients++
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(m.clients >> 8), byte(m.clients)}), 1024)
	opening := &modelOpening{sent: m.now, syn: Packet{Client: client, Service: proofAddress, Seq: uint32(m.clients) << 20, SYN: true, Raw: []byte("syn")}}
	if !m.sendSYN(opening, through, then) {
		m.openings = append(m.openings, opening)
	}
}

// sendSYN sends a SYN through a host and, if the target gets it, the end of the handshake
// through another one. It reports whether the flow is open.
func (m *unreadModel) sendSYN(opening *modelOpening, through, then *unreadHost) bool {
	verdict := through.engine.HandlePacket(m.now, &opening.syn)
	if verdict.Action != ActionForward || verdict.Target.Address != m.target.Address || m.absent {
		return false
	}
	f := &modelFlow{client: opening.syn.Client, seq: opening.syn.Seq + 1, start: m.target.StartMillis, removed: m.removed}
	if len(m.config.Routes) == 0 {
		// Opened by a host that has not read the removal of its route.
		f.removed = neverRouted
	}
	m.flows = append(m.flows, f)
	m.send(then, f, 0)
	return true
}

// sendCopies sends the copies of SYNs that are due through hosts that next returns.
func (m *unreadModel) sendCopies(next func() *unreadHost) {
	var unanswered []*modelOpening
	for _, opening := range m.openings {
		due := opening.sent + []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, clientConnectTimeout}[opening.copies]
		switch {
		case m.now < due:
			unanswered = append(unanswered, opening)
			continue
		case due == opening.sent+clientConnectTimeout:
			continue
		}
		opening.copies++
		opening.syn.Ack = uint32(opening.copies)
		if !m.sendSYN(opening, next(), next()) {
			unanswered = append(unanswered, opening)
		}
	}
	m.openings = unanswered
}

// Whatever hosts have read, and whenever, no flow is reset while its target holds it and its
// route is there.
func TestNoFlowIsResetByWhatAHostHasNotRead(t *testing.T) {
	resets := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newUnreadModel(t)
		host := func() *unreadHost { return m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")] }
		steps := map[string]func(*rapid.T){
			"route": func(*rapid.T) {
				if len(m.config.Routes) > 0 {
					m.removed++
				}
				m.setRoute(len(m.config.Routes) == 0)
			},
			"target": func(t *rapid.T) {
				m.target.StartMillis++
				if rapid.Bool().Draw(t, "moves") {
					m.target.Address = netip.AddrPortFrom(m.target.Address.Addr(), m.target.Address.Port()+1)
				}
			},
			"restart": func(t *rapid.T) {
				m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "restarted")] = m.startedHost()
			},
			"poll": func(*rapid.T) {
				h := host()
				h.config, h.targets = m.startRead(), m.startRead()
			},
			"absence": func(*rapid.T) {
				m.absent = !m.absent
				m.target.StartMillis++
			},
			"open": func(*rapid.T) { m.open(host(), host()) },
			"": func(t *rapid.T) {
				for _, f := range m.flows {
					if rapid.IntRange(0, 2).Draw(t, "packet") > 0 {
						// A new request, or the last one again.
						length := rapid.SampledFrom([]int{100, 100, 0}).Draw(t, "length")
						m.send(host(), f, length)
					}
				}
				m.sendCopies(host)
				m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
				for _, h := range m.hosts {
					m.work(h, rapid.Bool().Draw(t, "store answers"))
				}
			},
		}
		t.Repeat(steps)
		resets += m.resets
	})
	t.Logf("%d resets of flows that had ended", resets)
	if resets == 0 {
		t.Fatal("nothing is ever reset: the model shows nothing")
	}
}
