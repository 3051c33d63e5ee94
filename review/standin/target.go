package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sight is a line that a target writes about what it has seen.
type sight struct {
	At     int64  `json:"at"` // Unix nanoseconds
	Target string `json:"target"`
	What   string `json:"what"` // born, syn, open, run, unknown, forged
	Client string `json:"client,omitempty"`
	ID     string `json:"id,omitempty"`
	// Copy is the number of the SYN's copy.
	Copy uint32 `json:"copy,omitempty"`
}

// target is a server of a service: it registers itself, then takes flows.
type target struct {
	name, service, zone, store string
	address                    netip.AddrPort
	clientPort                 uint16
	slots                      int
	work, warmUp               time.Duration
	id                         uint64
	born                       time.Time
	sequence                   int
	draining                   atomic.Bool

	conn *net.UDPConn
	mu   sync.Mutex
	// flows holds the half-open and open flows, by the client's address and port.
	flows   map[netip.AddrPort]*targetFlow
	working chan struct{}
	out     *json.Encoder
}

type targetFlow struct {
	service    netip.AddrPort
	client     netip.AddrPort
	echo       uint32
	seq        uint32 // of the next byte to send
	synSeq     uint32 // of the SYN+ACK
	next       uint32 // the client's next byte
	open       bool
	ended      bool
	unanswered []packet // sent and not acknowledged
	lastSent   time.Time
	tries      int
}

func runTarget(args []string) int {
	t := &target{flows: map[netip.AddrPort]*targetFlow{}, out: json.NewEncoder(os.Stdout)}
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	flags.StringVar(&t.name, "name", "", "")
	flags.StringVar(&t.service, "service", "", "")
	flags.StringVar(&t.zone, "zone", "", "")
	flags.StringVar(&t.store, "store", "", "")
	flags.IntVar(&t.slots, "slots", 3, "")
	flags.DurationVar(&t.work, "work", 10*time.Millisecond, "")
	flags.DurationVar(&t.warmUp, "warm-up", 0, "the time for which the target is cold after its start")
	address := flags.String("address", "", "")
	clientPort := flags.Uint("client-port", 0, "")
	heartbeat := flags.Duration("heartbeat", 1200*time.Millisecond, "")
	drain := flags.Duration("drain", 5*time.Second, "")
	_ = flags.Parse(args)
	t.address = netip.MustParseAddrPort(*address)
	t.clientPort = uint16(*clientPort)
	t.working = make(chan struct{}, t.slots)
	t.id, _ = strconv.ParseUint(strings.TrimPrefix(t.name, "i-"), 16, 64)
	t.born = time.Now()
	go exitWithParent()
	go t.leaveOnSignal(*drain)
	for t.register() != nil {
		time.Sleep(20 * time.Millisecond)
	}
	return t.serve(*heartbeat)
}

// leaveOnSignal drains the target at SIGTERM: it reports draining, goes on for the drain time
// and a little longer, removes its entry and ends.
func (t *target) leaveOnSignal(drain time.Duration) {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	<-terminated
	t.draining.Store(true)
	for t.register() != nil {
		time.Sleep(50 * time.Millisecond)
	}
	t.mu.Lock()
	t.note(sight{What: "draining"})
	t.mu.Unlock()
	time.Sleep(drain + time.Second)
	request, _ := http.NewRequest(http.MethodDelete, t.store+objectsPath+"servers/"+t.name, nil)
	if response, err := (&http.Client{Timeout: time.Second}).Do(request); err == nil {
		_ = response.Body.Close()
	}
	os.Exit(0)
}

// exitWithParent ends the process when its parent has ended.
func exitWithParent() {
	_, _ = os.Stdin.Read(make([]byte, 1))
	os.Exit(0)
}

// register writes the target's entry into the store.
func (t *target) register() error {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	t.sequence++
	left := max(0, t.warmUp-time.Since(t.born))
	body, _ := json.Marshal(map[string]any{"meta": map[string]any{"name": t.name}, "spec": map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "concurrency": t.slots,
		"state": state, "warmup_left_ms": left.Milliseconds(), "sequence": t.sequence, "born": t.born.UnixMilli(),
	}})
	request, _ := http.NewRequest(http.MethodPut, t.store+objectsPath+"servers/"+t.name, bytes.NewReader(body))
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (t *target) serve(heartbeat time.Duration) int {
	listener, err := net.Listen("tcp", t.address.String())
	if err == nil {
		t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(t.address))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	t.note(sight{What: "born"})
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Target-Id", t.name)
			if t.draining.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			w.Header().Set("X-Target-Load", fmt.Sprintf("%d,0,8", len(t.working)))
		}))
	}()
	go func() {
		for range time.Tick(heartbeat) {
			_ = t.register()
		}
	}()
	go t.retransmit()
	buf := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return 2
		}
		if n < labelSize+headerSize {
			continue
		}
		if label := binary.BigEndian.Uint64(buf); label != 0 && label != t.id {
			continue
		}
		if p, genuine, ok := decode(buf[labelSize:n]); ok {
			t.mu.Lock()
			t.handle(p, genuine)
			t.mu.Unlock()
		}
	}
}

// note writes a sight. t.mu is held, or nothing else runs yet.
func (t *target) note(s sight) {
	s.At, s.Target = time.Now().UnixNano(), t.name
	_ = t.out.Encode(s)
}

func (t *target) handle(p packet, genuine bool) {
	if !genuine || p.Flags&flagSYN != 0 && p.Flags&flagACK != 0 {
		t.note(sight{What: "forged", Client: p.Src.String()})
		return
	}
	f := t.flows[p.Src]
	switch {
	case p.Flags&flagSYN != 0:
		t.handleSYN(p, f)
	case f == nil || f.service != p.Dst:
		if p.Flags&flagRST == 0 {
			t.note(sight{What: "unknown", Client: p.Src.String()})
			t.send(packet{Echo: p.Echo, Seq: p.Ack, Src: p.Dst, Dst: p.Src, Flags: flagRST})
		}
	case p.Flags&flagRST != 0:
		delete(t.flows, p.Src)
	default:
		t.handleOpen(f, p)
	}
}

func (t *target) handleSYN(p packet, f *targetFlow) {
	if f == nil || f.next != p.Seq+1 && !f.open {
		f = &targetFlow{service: p.Dst, client: p.Src, echo: p.Echo, synSeq: uint32(time.Now().UnixNano()), next: p.Seq + 1}
		f.seq = f.synSeq + 1
		t.flows[p.Src] = f
	}
	t.note(sight{What: "syn", Client: p.Src.String(), Copy: p.Ack})
	t.send(packet{Echo: f.echo, Seq: f.synSeq, Ack: f.next, Src: p.Dst, Dst: p.Src, Flags: flagSYN | flagACK})
}

func (t *target) handleOpen(f *targetFlow, p packet) {
	f.echo = p.Echo
	if !f.open {
		if p.Ack != f.synSeq+1 {
			t.send(packet{Echo: p.Echo, Seq: p.Ack, Src: p.Dst, Dst: p.Src, Flags: flagRST})
			return
		}
		f.open = true
		t.note(sight{What: "open", Client: p.Src.String()})
	}
	if p.Ack == f.seq {
		f.unanswered, f.tries = nil, 0
	}
	switch {
	case len(p.Data) > 0 && p.Seq == f.next && !f.ended:
		f.next += uint32(len(p.Data))
		t.acknowledge(f)
		go t.work1(f, attemptID(p.Data))
	case len(p.Data) > 0:
		t.acknowledge(f)
	case p.Flags&flagFIN != 0:
		f.ended = true
		t.send(packet{Echo: f.echo, Seq: f.seq, Ack: p.Seq + 1, Src: f.service, Dst: f.client, Flags: flagACK | flagFIN})
		delete(t.flows, f.client)
	}
}

// attemptID returns the value of the request's X-Attempt-Id.
func attemptID(request []byte) string {
	_, rest, _ := strings.Cut(string(request), "X-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func (t *target) acknowledge(f *targetFlow) {
	t.send(packet{Echo: f.echo, Seq: f.seq, Ack: f.next, Src: f.service, Dst: f.client, Flags: flagACK})
}

// work1 runs one request in a slot and answers it.
func (t *target) work1(f *targetFlow, id string) {
	t.working <- struct{}{}
	t.mu.Lock()
	t.note(sight{What: "run", Client: f.client.String(), ID: id})
	t.mu.Unlock()
	time.Sleep(t.work)
	<-t.working
	t.mu.Lock()
	defer t.mu.Unlock()
	body := t.name + " " + id
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	p := packet{Echo: f.echo, Seq: f.seq, Ack: f.next, Src: f.service, Dst: f.client, Flags: flagACK, Data: answer}
	if t.draining.Load() {
		// A draining target closes each flow after its next response.
		p.Flags |= flagFIN
		f.ended = true
	}
	f.seq += uint32(len(answer))
	f.unanswered = append(f.unanswered, p)
	f.lastSent, f.tries = time.Now(), 0
	t.send(p)
}

// retransmit sends what was not acknowledged again, after 200 ms, doubling up to 1.6 s.
func (t *target) retransmit() {
	for range time.Tick(20 * time.Millisecond) {
		t.mu.Lock()
		for _, f := range t.flows {
			if len(f.unanswered) == 0 || f.tries >= 8 || time.Since(f.lastSent) < min(200*time.Millisecond<<f.tries, 1600*time.Millisecond) {
				continue
			}
			f.tries++
			f.lastSent = time.Now()
			for _, p := range f.unanswered {
				p.Echo = f.echo
				t.send(p)
			}
		}
		t.mu.Unlock()
	}
}

func (t *target) send(p packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.Dst.Addr(), t.clientPort))
}
