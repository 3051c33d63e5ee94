package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Times at which a client sends copies of its SYN and gives up, and the first interval of
// its retransmissions.
var (
	synCopies        = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	synDeadline      = 1400 * time.Millisecond
	retransmitFirst  = 200 * time.Millisecond
	retransmitMaxGap = 1600 * time.Millisecond
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// clientHost is one client address with its socket.
type clientHost struct {
	sc   *scene
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[flowKey]chan packet
	nextPort uint16
}

func (sc *scene) newClient(ip netip.Addr, zone string) *clientHost {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	must(err)
	c := &clientHost{sc: sc, zone: zone, ip: ip, conn: conn, flows: map[flowKey]chan packet{}, nextPort: 20000}
	go c.receive()
	return c
}

func (c *clientHost) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		inbox := c.flows[flowKey{p.dst, p.src}]
		c.mu.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// flow is a client's end of a flow.
type flow struct {
	c        *clientHost
	key      flowKey
	inbox    chan packet
	echo     uint32
	seq, ack uint32
	sentAt   time.Time
	// systemReset is set if the flow was reset by a packet of the system.
	systemReset bool
}

func (f *flow) send(p packet) {
	p.echo, p.src, p.dst = f.echo, f.key.client, f.key.service
	if p.flags&flagSYN == 0 {
		p.ack = f.ack
	}
	host := f.c.sc.fabric.pick(f.c.zone, f.key)
	if host == nil {
		return
	}
	_, _ = f.c.conn.WriteToUDP(p.encode(), net.UDPAddrFromAddrPort(host.packets))
}

// open opens a flow to a route's address.
func (c *clientHost) open(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.ip, c.nextPort), service}, inbox: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.key] = f.inbox
	c.mu.Unlock()
	f.sentAt = time.Now()
	for i, at := range synCopies {
		if i > 0 {
			f.c.sc.count("syn copies sent")
		}
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		until := synDeadline
		if i+1 < len(synCopies) {
			until = synCopies[i+1]
		}
		_ = at
		timer := time.NewTimer(time.Until(f.sentAt.Add(until)))
	wait:
		for {
			select {
			case p := <-f.inbox:
				if p.flags&flagRST != 0 {
					f.systemReset = p.sum == 0
					f.close()
					return f, errReset
				}
				if p.flags&flagSYN != 0 && p.ack == f.seq+1 {
					f.seq++
					f.ack, f.echo = p.seq+1, p.echo
					f.send(packet{flags: flagACK, seq: f.seq})
					timer.Stop()
					return f, nil
				}
			case <-timer.C:
				break wait
			}
		}
	}
	f.close()
	return f, errTimeout
}

// request sends a request and returns the body of its answer.
func (f *flow) request(limit time.Duration) (id, body string, err error) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	data := fmt.Appendf(nil, "GET / HTTP/1.1\r\nX-Attempt-Id: %s\r\n\r\n", id)
	deadline := time.Now().Add(limit)
	gap := retransmitFirst
	for time.Now().Before(deadline) {
		f.send(packet{flags: flagACK, seq: f.seq, data: data})
		timer := time.NewTimer(min(gap, time.Until(deadline)))
		gap = min(2*gap, retransmitMaxGap)
	wait:
		for {
			select {
			case p := <-f.inbox:
				if p.flags&flagRST != 0 {
					if p.sum == 0 && int32(p.seq-f.ack) > 76800 {
						continue
					}
					f.systemReset = p.sum == 0
					f.close()
					return id, "", errReset
				}
				if len(p.data) > 0 && p.seq == f.ack {
					f.ack += uint32(len(p.data))
					f.seq += uint32(len(data))
					f.echo = p.echo
					f.send(packet{flags: flagACK, seq: f.seq})
					timer.Stop()
					_, body, _ := strings.Cut(string(p.data), "\r\n\r\n")
					return id, body, nil
				}
			case <-timer.C:
				break wait
			}
		}
	}
	return id, "", errTimeout
}

// finish closes the flow as a client does: with a FIN.
func (f *flow) finish() {
	f.send(packet{flags: flagACK | flagFIN, seq: f.seq})
	f.close()
}

func (f *flow) close() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}
