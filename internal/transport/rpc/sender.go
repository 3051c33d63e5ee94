package rpc

import (
	"cmp"
	"sync"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/state"
)

// SenderSettings bounds the resources for sending to other entry hosts. Zero fields take
// the default values.
type SenderSettings struct {
	// QueueSize bounds the queued messages per peer.
	QueueSize int
	// MaxPeers bounds the peers that have a queue and a connection.
	MaxPeers int
	// DialTimeout bounds opening a connection.
	DialTimeout time.Duration
	// CallTimeout bounds the time from writing a message to its acknowledgement. After
	// the same time Close drops the messages that are still queued.
	CallTimeout time.Duration
	// IdleTimeout is how long a peer without messages keeps its queue and connection.
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

// Sender sends messages to other entry hosts over one connection per host. It is safe
// for concurrent use.
type Sender struct {
	self     state.Host
	settings SenderSettings
	counters Counters

	mu      sync.Mutex
	closed  bool
	peers   map[state.Host]*peer
	running sync.WaitGroup
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

// Send queues a message and returns at once. The message is dropped and counted if the
// sender is closed, there are too many peers, the queue is full or the peer can't be
// reached in time.
func (s *Sender) Send(to state.Host, m message.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.countDropped(causeClosed)
		return
	}
	dest, ok := s.peers[to]
	if !ok && len(s.peers) >= s.settings.MaxPeers {
		s.countDropped(causeTooManyPeers)
		return
	}
	if !ok {
		dest = newPeer(s, to)
		s.peers[to] = dest
		s.running.Go(dest.run)
	}
	select {
	case dest.queue <- m:
	default:
		s.countDropped(causeQueueFull)
	}
}

func (s *Sender) countDropped(reason cause) { s.counters.Add(CountDropped+string(reason), 1) }

// removeIdle removes an idle peer and reports whether it did. It keeps a peer that a
// message was queued for in the meantime.
func (s *Sender) removeIdle(idle *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(idle.queue) > 0 {
		return false
	}
	delete(s.peers, idle.host)
	return true
}

// Close sends queued messages as far as the call timeout allows, closes the connections
// and waits until all goroutines have ended.
func (s *Sender) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		for _, dest := range s.peers {
			close(dest.stop)
		}
	}
	s.mu.Unlock()
	s.running.Wait()
}
