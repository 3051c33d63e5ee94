package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval of a target's writes to the store.
const heartbeat = 1200 * time.Millisecond

// flowKey names a flow at a target.
type flowKey struct{ client, service netip.AddrPort }

// targetFlow is a flow that a target holds.
type targetFlow struct {
	echo uint32
	// seq is the target's next sequence number, next the client's expected one.
	seq, next uint32
	open      bool
	answers   map[uint32][]byte
}

// target is one target: its flows, its health check and its entry in the store.
type target struct {
	sc            *scene
	name          string
	id            uint64
	service, zone string
	address       netip.AddrPort
	concurrency   int
	work          time.Duration
	warmup        time.Duration
	// beatAt is the phase of its heartbeats.
	beatAt time.Duration

	mu       sync.Mutex
	state    string
	born     int64
	sequence int
	coldFrom time.Time
	flows    map[flowKey]*targetFlow
	conn     *net.UDPConn
	health   net.Listener
	stopped  chan struct{}
}

func (sc *scene) newTarget(ip netip.Addr, service, zone string) *target {
	id := uint64(rand.Uint32()) | uint64(rand.Uint32N(200)+16)<<32
	t := &target{
		sc: sc, id: id, name: fmt.Sprintf("i-%010x", id), service: service, zone: zone,
		address:     netip.AddrPortFrom(ip, 8080),
		concurrency: 2, work: 15 * time.Millisecond, warmup: 2 * time.Second,
		beatAt: time.Duration(rand.Int64N(int64(heartbeat))),
	}
	sc.targets = append(sc.targets, t)
	return t
}

// start starts the target: it holds nothing of an earlier start. It is cold if traffic runs.
func (t *target) start(cold bool) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address))
	must(err)
	listener, err := net.Listen("tcp4", t.address.String())
	must(err)
	t.mu.Lock()
	t.state, t.born, t.sequence = "ready", time.Now().UnixMilli(), 0
	t.coldFrom = time.Time{}
	if cold {
		t.coldFrom = time.Now()
	}
	t.flows = map[flowKey]*targetFlow{}
	t.conn, t.health, t.stopped = conn, listener, make(chan struct{})
	stopped := t.stopped
	t.mu.Unlock()
	go t.receive(conn)
	go func() { _ = http.Serve(listener, http.HandlerFunc(t.serveHealth)) }()
	t.write()
	go t.beat(stopped)
}

// crash ends the target at once.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.stopped)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.flows = map[flowKey]*targetFlow{}
}

func (t *target) drain() {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.write()
	t.sc.log("target %s reports draining; the store has acknowledged it", t.name)
}

func (t *target) getCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldFrom = time.Now()
}

// cold reports whether the target is cold at a time.
func (t *target) coldAt(at time.Time) bool {
	return !t.coldFrom.IsZero() && !at.Before(t.coldFrom) && at.Sub(t.coldFrom) < t.warmup
}

// write writes the target's entry to the store.
func (t *target) write() {
	t.mu.Lock()
	t.sequence++
	left := int64(0)
	if now := time.Now(); t.coldAt(now) {
		left = (t.warmup - now.Sub(t.coldFrom)).Milliseconds()
	}
	entry := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1",
		"concurrency": t.concurrency, "state": t.state, "warmup_left_ms": left, "sequence": t.sequence, "born": t.born,
	}
	t.mu.Unlock()
	t.sc.store.beat("servers", t.name, entry)
}

// beat writes the entry at each heartbeat. All heartbeats of a target have the same phase.
func (t *target) beat(stopped chan struct{}) {
	for {
		since := time.Since(t.sc.start)
		next := t.beatAt + ((since-t.beatAt)/heartbeat+1)*heartbeat
		select {
		case <-stopped:
			return
		case <-time.After(next - since):
			t.write()
		}
	}
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	draining := t.state != "ready"
	t.mu.Unlock()
	w.Header().Set("X-Target-Id", t.name)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *target) receive(conn *net.UDPConn) {
	buf := make([]byte, 4096)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		at := time.Now()
		if n < labelSize {
			continue
		}
		label := binary.BigEndian.Uint64(buf)
		p, ok := decode(buf[labelSize:n])
		if !ok {
			continue
		}
		if label != 0 && label != t.id {
			// Not the intended target.
			t.sc.arrived(t, p, at, false)
			continue
		}
		t.sc.arrived(t, p, at, true)
		t.handle(p, at)
	}
}

func (t *target) send(p packet) {
	to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.dst.Addr(), packetPort))
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	_, _ = conn.WriteToUDP(p.encode(), to)
}

func (t *target) handle(p packet, at time.Time) {
	t.mu.Lock()
	key := flowKey{p.src, p.dst}
	f := t.flows[key]
	reply := packet{src: p.dst, dst: p.src, flags: flagACK}
	if p.flags&flagSYN != 0 {
		first := f == nil || f.next != p.seq+1
		if first {
			f = &targetFlow{seq: rand.Uint32(), next: p.seq + 1, answers: map[uint32][]byte{}}
			t.flows[key] = f
		}
		f.echo = p.echo
		reply.echo, reply.seq, reply.ack, reply.flags = p.echo, f.seq-1, f.next, flagACK|flagSYN
		t.mu.Unlock()
		if first {
			t.sc.took(t, p, at)
		}
		t.send(reply)
		return
	}
	if f == nil {
		t.mu.Unlock()
		if p.flags&flagRST == 0 {
			reply.flags, reply.seq, reply.echo = flagRST, p.ack, p.echo
			t.send(reply)
		}
		return
	}
	f.echo = p.echo
	if !f.open && p.ack == f.seq {
		f.open = true
		t.sc.opened(t, key, at)
	}
	reply.echo = p.echo
	switch {
	case p.flags&flagRST != 0:
		delete(t.flows, key)
		t.mu.Unlock()
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		at, seq, ack := f.seq, p.seq, f.next
		id := attemptID(p.data)
		body := fmt.Sprintf("%s %s", t.service, id)
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", t.name, len(body), body)
		f.seq += uint32(len(answer))
		t.mu.Unlock()
		t.sc.ran(t, key, id)
		time.AfterFunc(t.work, func() {
			t.mu.Lock()
			f.answers[seq] = answer
			t.mu.Unlock()
			reply.seq, reply.ack, reply.data = at, ack, answer
			t.send(reply)
		})
	case len(p.data) > 0:
		// A retransmission: its answer again, if there is one.
		answer := f.answers[p.seq]
		reply.seq, reply.ack, reply.data = f.seq-uint32(len(answer)), f.next, answer
		t.mu.Unlock()
		t.send(reply)
	case p.flags&flagFIN != 0:
		delete(t.flows, key)
		t.mu.Unlock()
		reply.seq, reply.ack, reply.flags = f.seq, p.seq+1, flagACK|flagFIN
		t.send(reply)
	default:
		t.mu.Unlock()
	}
}

// attemptID returns the X-Attempt-Id of a request.
func attemptID(request []byte) string {
	_, rest, _ := bytes.Cut(request, []byte("X-Attempt-Id: "))
	id, _, _ := strings.Cut(string(rest), "\r\n")
	if _, err := strconv.ParseUint(id, 16, 64); err != nil {
		return "unreadable"
	}
	return id
}
