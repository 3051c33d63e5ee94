package rpc

import (
	"errors"
	"net"
	"net/rpc"
	"os"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
)

// peer is the queue and the connection to one entry host. Only the goroutine of run uses
// conn and client.
type peer struct {
	sender *Sender
	host   state.Host
	queue  chan message.Message
	stop   chan struct{}
	conn   net.Conn
	client *rpc.Client
}

func newPeer(sender *Sender, host state.Host) *peer {
	return &peer{
		sender: sender,
		host:   host,
		queue:  make(chan message.Message, sender.settings.QueueSize),
		stop:   make(chan struct{}),
	}
}

// run sends queued messages until the peer has been idle for the idle timeout or the
// sender is closed.
func (p *peer) run() {
	defer p.disconnect()
	idle := time.NewTimer(p.sender.settings.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.stop:
			p.flush()
			return
		case m := <-p.queue:
			idle.Reset(p.sender.settings.IdleTimeout)
			p.send(m)
		case <-idle.C:
			if p.sender.removeIdle(p) {
				return
			}
			idle.Reset(p.sender.settings.IdleTimeout)
		}
	}
}

// flush sends the messages that are still queued, such as the announcement that this
// host leaves. It drops those that the call timeout leaves no time for.
func (p *peer) flush() {
	deadline := time.Now().Add(p.sender.settings.CallTimeout)
	for len(p.queue) > 0 {
		m := <-p.queue
		if time.Now().After(deadline) {
			p.sender.countDropped(causeClosed)
			continue
		}
		p.send(m)
	}
}

// send sends one message. It connects first if there is no connection.
func (p *peer) send(m message.Message) {
	if p.client == nil && !p.connect() {
		p.sender.countDropped(causeConnect)
		p.discardQueued()
		return
	}
	envelope := rpcapi.Envelope{Version: rpcapi.Version, From: p.sender.self, Message: m}
	var ack rpcapi.Ack
	if err := p.call(envelope, &ack); err != nil {
		p.disconnect()
		p.sender.countDropped(callCause(err))
		return
	}
	if !ack.Accepted {
		p.sender.countDropped(causeRejected)
		return
	}
	p.sender.counters.Add(CountSent, 1)
}

// call makes one call. The call timeout is set as a deadline on the connection.
func (p *peer) call(envelope rpcapi.Envelope, ack *rpcapi.Ack) error {
	if err := p.conn.SetDeadline(time.Now().Add(p.sender.settings.CallTimeout)); err != nil {
		return err
	}
	if err := p.client.Call(rpcapi.MethodDeliver, envelope, ack); err != nil {
		return err
	}
	return p.conn.SetDeadline(time.Time{})
}

func callCause(err error) cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return causeTimeout
	}
	return causeCallFailed
}

func (p *peer) connect() bool {
	conn, err := net.DialTimeout("tcp", p.host.Control.String(), p.sender.settings.DialTimeout)
	if err != nil {
		return false
	}
	p.conn = conn
	p.client = rpc.NewClient(conn)
	p.sender.counters.Add(CountConnection, 1)
	return true
}

func (p *peer) disconnect() {
	if p.client == nil {
		return
	}
	_ = p.client.Close()
	p.client = nil
	p.conn = nil
}

// discardQueued drops the queued messages after a failed connect; each would otherwise
// wait for the same failure.
func (p *peer) discardQueued() {
	for range len(p.queue) {
		<-p.queue
		p.sender.countDropped(causeConnect)
	}
}
