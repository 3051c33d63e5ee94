package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a client machine with one address; its flows share a socket.
type client struct {
	address netip.Addr
	zone    string
	fabric  *fabric
	conn    *net.UDPConn

	mu       sync.Mutex
	lastPort uint16
	flows    map[netip.AddrPort]*flow // by local address
}

func newClient(address netip.AddrPort, zone string, fabric *fabric) (*client, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{address: address.Addr(), zone: zone, fabric: fabric, conn: conn, lastPort: 10000, flows: map[netip.AddrPort]*flow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, genuine, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst]
		c.mu.Unlock()
		if f == nil || f.service != p.Src {
			continue
		}
		select {
		case f.inbox <- arrival{p, genuine, time.Now()}:
		default:
		}
	}
}

type arrival struct {
	packet
	genuine bool
	at      time.Time
}

// flow is one flow of a client.
type flow struct {
	client         *client
	local, service netip.AddrPort
	inbox          chan arrival
	echo           uint32
	seq, ack       uint32
	sentAt         time.Time // of the SYN
	openedAt       time.Time // when the client sent the end of the handshake
	finished       bool      // the target has closed the flow
}

// Outcomes of a try.
var (
	errNoAnswer    = errors.New("no answer")
	errSystemReset = errors.New("reset by the system (sum 0)")
	errTargetReset = errors.New("reset by a target")
)

// connect opens a flow: a SYN and its copies after 200 and 600 ms, for up to 1.4 s.
func (c *client) connect(service netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.lastPort++
	if c.lastPort > 60000 {
		c.lastPort = 10001
	}
	f := &flow{client: c, local: netip.AddrPortFrom(c.address, c.lastPort), service: service, inbox: make(chan arrival, 64), seq: uint32(time.Now().UnixNano())}
	c.flows[f.local] = f
	c.mu.Unlock()
	f.sentAt = time.Now()
	copies := uint32(0)
	f.send(packet{Seq: f.seq, Flags: flagSYN})
	for {
		wait := []time.Duration{200, 600, 1400}[copies] * time.Millisecond
		select {
		case a := <-f.inbox:
			switch {
			case a.Flags&flagRST != 0:
				return f, resetBy(a)
			case a.genuine && a.Flags&(flagSYN|flagACK) == flagSYN|flagACK && a.Ack == f.seq+1:
				f.seq++
				f.ack = a.Seq + 1
				f.echo = a.Echo
				f.openedAt = time.Now()
				f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK})
				return f, nil
			}
		case <-time.After(time.Until(f.sentAt.Add(wait))):
			copies++
			if copies == 3 {
				return f, errNoAnswer
			}
			f.send(packet{Seq: f.seq, Ack: copies, Flags: flagSYN})
		}
	}
}

func resetBy(a arrival) error {
	if a.genuine {
		return errTargetReset
	}
	return errSystemReset
}

// request sends a request and returns the body of its answer.
func (f *flow) request(method, id string, deadline time.Duration) (string, error) {
	data := []byte(fmt.Sprintf("%s / HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id))
	end := time.After(deadline)
	interval := 200 * time.Millisecond
	acknowledged := false
	f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK, Data: data})
	again := time.After(interval)
	for {
		select {
		case <-end:
			return "", errNoAnswer
		case <-again:
			if !acknowledged {
				f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK, Data: data})
				interval = min(2*interval, 1600*time.Millisecond)
				again = time.After(interval)
			}
		case a := <-f.inbox:
			if a.Flags&flagRST != 0 {
				// A sound end takes a reset only if it fits into the flow.
				if d := int32(a.Seq - f.ack); d > 76800 || d < -76800 {
					continue
				}
				return "", resetBy(a)
			}
			if !a.genuine || a.Flags&flagSYN != 0 {
				continue
			}
			if a.Ack == f.seq+uint32(len(data)) {
				acknowledged = true
				f.echo = a.Echo
			}
			if len(a.Data) > 0 && a.Seq != f.ack {
				f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK})
				continue
			}
			if len(a.Data) == 0 {
				continue
			}
			f.seq += uint32(len(data))
			f.ack += uint32(len(a.Data))
			f.finished = a.Flags&flagFIN != 0
			f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagACK})
			_, body, _ := strings.Cut(string(a.Data), "\r\n\r\n")
			return body, nil
		}
	}
}

// close ends the flow and forgets it.
func (f *flow) close(fin bool) {
	if fin {
		f.send(packet{Seq: f.seq, Ack: f.ack, Flags: flagFIN | flagACK})
	}
	f.client.mu.Lock()
	delete(f.client.flows, f.local)
	f.client.mu.Unlock()
}

func (f *flow) send(p packet) {
	p.Src, p.Dst, p.Echo = f.local, f.service, f.echo
	_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), f.client.fabric.pick(f.client.zone, f.local, f.service))
}
