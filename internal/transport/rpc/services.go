package rpc

import (
	"errors"
	"fmt"

	"github.com/panjf2000/ants/v2"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
)

// ErrVersion is returned to an operator whose query has another interface version.
var ErrVersion = errors.New("interface version differs")

// peerService is the net/rpc service "Peer".
type peerService struct {
	pool     *ants.Pool
	deliver  DeliverFunc
	counters Counters
}

// Deliver accepts one message from another entry host. The reply doesn't wait until the
// message is handled.
func (p *peerService) Deliver(e rpcapi.Envelope, ack *rpcapi.Ack) error {
	if e.Version != rpcapi.Version {
		return p.refuse(ack, causeVersion)
	}
	m, ok := e.Message.(message.Message)
	if !ok || e.From.ID == "" || !e.From.Control.IsValid() {
		return p.refuse(ack, causeMalformed)
	}
	err := p.pool.Submit(func() { p.deliver(e.From, m) })
	if err != nil {
		return p.refuse(ack, causeBusy)
	}
	p.counters.Add(CountDelivered, 1)
	ack.Accepted = true
	return nil
}

func (p *peerService) refuse(ack *rpcapi.Ack, reason cause) error {
	p.counters.Add(CountRefused+string(reason), 1)
	ack.Reason = string(reason)
	return nil
}

// operatorService is the net/rpc service "Operator".
type operatorService struct {
	operator Operator
	counters Counters
}

// checkVersion refuses a query of another interface version.
func (o *operatorService) checkVersion(q rpcapi.Query) error {
	if q.Version == rpcapi.Version {
		return nil
	}
	o.counters.Add(CountRefused+string(causeVersion), 1)
	return fmt.Errorf("%w: asked %d, served %d", ErrVersion, q.Version, rpcapi.Version)
}

// Hosts lists the entry hosts.
func (o *operatorService) Hosts(q rpcapi.Query, reply *rpcapi.HostsReply) error {
	if err := o.checkVersion(q); err != nil {
		return err
	}
	*reply = o.operator.Hosts(q)
	return nil
}

// Targets lists the targets.
func (o *operatorService) Targets(q rpcapi.Query, reply *rpcapi.TargetsReply) error {
	if err := o.checkVersion(q); err != nil {
		return err
	}
	*reply = o.operator.Targets(q)
	return nil
}

// Flows counts the flows.
func (o *operatorService) Flows(q rpcapi.Query, reply *rpcapi.FlowsReply) error {
	if err := o.checkVersion(q); err != nil {
		return err
	}
	*reply = o.operator.Flows(q)
	return nil
}

// Counters lists the counters.
func (o *operatorService) Counters(q rpcapi.Query, reply *rpcapi.CountersReply) error {
	if err := o.checkVersion(q); err != nil {
		return err
	}
	*reply = o.operator.Counters(q)
	return nil
}
