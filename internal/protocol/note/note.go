// Package note decodes release notes written in TOML. It validates a note on its
// own; state.Apply validates it against the release that it changes.
package note

import (
	"fmt"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Limits and defaults of a note.
const (
	// MaxSize is the largest size of a note in bytes. The platform limits the
	// size of an object; MaxSize leaves room below it for the encoding of the
	// stored note.
	MaxSize = 512 << 10

	DefaultDeadline = 30 * time.Second
	MinDeadline     = time.Second
	MaxDeadline     = time.Hour

	DefaultIdleTimeout = 15 * time.Minute
	MinIdleTimeout     = time.Second
	MaxIdleTimeout     = 24 * time.Hour

	DefaultSlots       = 1
	DefaultConnections = 2000
	maxSlots           = 65535
	maxConnections     = 1 << 20
	maxCustomerWeight  = 1000
	maxVersion         = 1 << 53
)

// Names of the forwarding modes and protocols in a note.
const (
	ModeOwner   = "owner"
	ModeHash    = "hash"
	ProtocolTCP = "tcp"
	ProtocolUDP = "udp"
)

// Decode returns the note in a TOML document, or nil and all issues of the
// document.
func Decode(data []byte) (*state.Note, tomldoc.Issues) {
	if len(data) > MaxSize {
		return nil, tomldoc.Issues{sizeIssue(len(data))}
	}
	root, issues := tomldoc.Parse(data)
	if len(issues) > 0 {
		return nil, issues
	}
	note := decodeRoot(root)
	if issues := root.Finish(); len(issues) > 0 {
		return nil, issues
	}
	return note, nil
}

func sizeIssue(size int) tomldoc.Issue {
	message := fmt.Sprintf("is %d bytes long; allowed: at most %d", size, MaxSize)
	return tomldoc.Issue{Key: "document", Message: message}
}

func decodeRoot(root *tomldoc.Table) *state.Note {
	note := &state.Note{
		ID:       state.NoteID(root.Name("id")),
		Base:     state.ReleaseVersion(root.RequiredInteger("base", 0, maxVersion)),
		Deadline: root.Duration("deadline", DefaultDeadline, MinDeadline, MaxDeadline),
	}
	note.Without = readNames[state.DomainID](root, "without")
	decodeSet(root.Subtable("set"), note)
	decodeAdd(root.Subtable("add"), note)
	decodeChange(root.Subtable("change"), note)
	decodeWithdraw(root.Subtable("withdraw"), note)
	return note
}

func readNames[ID ~string](table *tomldoc.Table, key string) []ID {
	var ids []ID
	for _, name := range table.Names(key) {
		ids = append(ids, ID(name))
	}
	return ids
}

func decodeSet(set *tomldoc.Table, note *state.Note) {
	for _, table := range set.TableArray("customer") {
		note.SetCustomers = append(note.SetCustomers, state.Customer{
			ID:     state.CustomerID(table.Name("id")),
			Weight: uint32(table.Integer("weight", state.MinWeight, state.MinWeight, maxCustomerWeight)),
		})
	}
}

func decodeAdd(add *tomldoc.Table, note *state.Note) {
	for _, table := range add.TableArray("domain") {
		note.AddDomains = append(note.AddDomains, state.DomainID(table.Name("id")))
	}
	for _, table := range add.TableArray("service") {
		note.AddServices = append(note.AddServices, decodeService(table))
	}
	for _, table := range add.TableArray("target") {
		note.AddTargets = append(note.AddTargets, decodeTarget(table))
	}
}

func decodeService(table *tomldoc.Table) state.ServiceSpec {
	return state.ServiceSpec{
		ID:          state.ServiceID(table.Name("id")),
		Customer:    state.CustomerID(table.Name("customer")),
		Protocol:    decodeProtocol(table),
		Address:     table.AddrPort("address"),
		Way:         decodeForwardingMode(table, ModeOwner),
		IdleTimeout: table.Duration("idle_timeout", DefaultIdleTimeout, MinIdleTimeout, MaxIdleTimeout),
	}
}

func decodeProtocol(table *tomldoc.Table) state.Protocol {
	if table.OneOf("protocol", ProtocolTCP, ProtocolTCP, ProtocolUDP) == ProtocolUDP {
		return state.UDP
	}
	return state.TCP
}

func decodeForwardingMode(table *tomldoc.Table, fallback string) state.ForwardingMode {
	if table.OneOf("way", fallback, ModeOwner, ModeHash) == ModeHash {
		return state.ForwardByHash
	}
	return state.ForwardByOwner
}

func decodeTarget(table *tomldoc.Table) state.TargetSpec {
	return state.TargetSpec{
		ID:          state.TargetID(table.Name("id")),
		Service:     state.ServiceID(table.Name("service")),
		Domain:      state.DomainID(table.Name("domain")),
		Address:     table.AddrPort("address"),
		Weight:      uint32(table.Integer("weight", state.MinWeight, state.MinWeight, state.MaxWeight)),
		Slots:       uint32(table.Integer("slots", DefaultSlots, 1, maxSlots)),
		Connections: uint32(table.Integer("connections", DefaultConnections, 1, maxConnections)),
	}
}

func decodeChange(change *tomldoc.Table, note *state.Note) {
	for _, table := range change.TableArray("service") {
		note.ChangeServices = append(note.ChangeServices, decodeServiceChange(table))
	}
	for _, table := range change.TableArray("target") {
		note.ChangeTargets = append(note.ChangeTargets, decodeTargetChange(table))
	}
}

func decodeServiceChange(table *tomldoc.Table) state.ServiceChange {
	change := state.ServiceChange{ID: state.ServiceID(table.Name("id"))}
	if table.Has("way") {
		mode := decodeForwardingMode(table, ModeOwner)
		change.Way = &mode
	}
	if table.Has("idle_timeout") {
		timeout := table.Duration("idle_timeout", DefaultIdleTimeout, MinIdleTimeout, MaxIdleTimeout)
		change.IdleTimeout = &timeout
	}
	return change
}

func decodeTargetChange(table *tomldoc.Table) state.TargetChange {
	change := state.TargetChange{ID: state.TargetID(table.Name("id"))}
	change.Weight = optionalInteger(table, "weight", state.MinWeight, state.MaxWeight)
	change.Slots = optionalInteger(table, "slots", 1, maxSlots)
	change.Connections = optionalInteger(table, "connections", 1, maxConnections)
	if table.Has("leaving") {
		leaving := table.Bool("leaving", false)
		change.Leaving = &leaving
	}
	return change
}

func optionalInteger(table *tomldoc.Table, key string, low, high int64) *uint32 {
	if !table.Has(key) {
		return nil
	}
	number := uint32(table.Integer(key, low, low, high))
	return &number
}

func decodeWithdraw(withdraw *tomldoc.Table, note *state.Note) {
	for _, table := range withdraw.TableArray("domain") {
		note.WithdrawDomains = append(note.WithdrawDomains, state.DomainID(table.Name("id")))
	}
	for _, table := range withdraw.TableArray("customer") {
		note.WithdrawCustomers = append(note.WithdrawCustomers, state.CustomerID(table.Name("id")))
	}
	for _, table := range withdraw.TableArray("service") {
		note.WithdrawServices = append(note.WithdrawServices, state.ServiceID(table.Name("id")))
	}
	for _, table := range withdraw.TableArray("target") {
		note.WithdrawTargets = append(note.WithdrawTargets, state.TargetID(table.Name("id")))
	}
}
