// Package message defines the control messages between entry hosts. The packages
// membership, release and listing define the concrete types; each exports
// Messages, the types with their names on the wire, which are registered with
// gob.
package message

import "github.com/guavawharf/guavawharf/internal/state"

// Message is a control message. It may be lost, duplicated, delayed or
// reordered.
type Message interface{ ControlMessage() }

// Registration pairs a message type with the name that gob sends for it. The
// name is part of the wire format and stays when the Go type is renamed.
type Registration struct {
	Name string
	// Message is the zero value of the type.
	Message Message
}

// Outgoing is a message to be sent to a host.
type Outgoing struct {
	To      state.Host
	Message Message
}
