package rpc

import (
	"cmp"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// SenderSettings bound the work towards other entry hosts. Zero fields take the
// default values.
type SenderSettings struct {
	// QueueSize bounds the messages waiting for one peer.
	QueueSize int
	// MaxPeers bounds the peers with a queue and a connection.
	MaxPeers int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// CallTimeout bounds one message from writing it to its acknowledgement.
	CallTimeout time.Duration
	// IdleTimeout ends the queue and the connection of an unused peer.
	IdleTimeout time.Duration
}

// Default values.
const (
	DefaultQueueSize       = 64
	DefaultMaxPeers        = 2048
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultCallTimeout     = 1 * time.Second
	DefaultPeerIdleTimeout = 5 * time.Minute
)

func (s SenderSettings) withDefaults() SenderSettings {
	s.QueueSize = cmp.Or(s.QueueSize, DefaultQueueSize)
	s.MaxPeers = cmp.Or(s.MaxPeers, DefaultMaxPeers)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.CallTimeout = cmp.Or(s.CallTimeout, DefaultCallTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultPeerIdleTimeout)
	return s
}

// Sender sends messages to other entry hosts over one connection each. It is
// safe for concurrent use.
type Sender struct {
	self     state.Host
	settings SenderSettings
	counters Counters

	mu     sync.Mutex
	closed bool
	peers  map[state.Host]*peer
	running   sync.WaitGroup
}

// NewSender returns a sender without connections.
func NewSender(self state.Host, settings SenderSettings, counters Counters) *Sender {
	return &Sender{
		self:     self,
		settings: settings.withDefaults(),
		counters: counters,
		peers:    make(map[state.Host]*peer),
	}
}

// Send queues a message and returns at once. The message is dropped and counted
// when the queue is full or the peer can't be reached in time.
func (p *Sender) Send(to state.Host, m message.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.countDropped(causeClosed)
		return
	}
	target, ok := p.peers[to]
	if !ok && len(p.peers) >= p.settings.MaxPeers {
		p.countDropped(causeTooManyPeers)
		return
	}
	if !ok {
		target = newPeer(p, to)
		p.peers[to] = target
		p.running.Go(target.run)
	}
	select {
	case target.queue <- m:
	default:
		p.countDropped(causeQueueFull)
	}
}

func (p *Sender) countDropped(why cause) { p.counters.Add(CountDropped+string(why), 1) }

// removeIdle removes an idle peer unless a message was queued meanwhile.
func (p *Sender) removeIdle(target *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(target.queue) > 0 {
		return false
	}
	delete(p.peers, target.host)
	return true
}

// Close sends what is queued as far as the call timeout allows, closes the
// connections and waits for their end.
func (p *Sender) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		for _, target := range p.peers {
			close(target.stop)
		}
	}
	p.mu.Unlock()
	p.running.Wait()
}
