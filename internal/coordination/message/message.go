// Package message defines what entry hosts say to each other about control.
// The packages membership and release hold the concrete types; each exports
// Messages, the zero values that the rpc edge registers with gob.
package message

import "github.com/guavawharf/guavawharf/internal/state"

// Message is a control message. A message may be lost, repeated, delayed or
// reordered.
type Message interface{ ControlMessage() }

// Registration is a message type with the name that gob sends for it. The name is
// part of the wire format: it stays when the Go type is renamed.
type Registration struct {
	Name string
	// Message is the zero value of the type.
	Message Message
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      state.Host
	Message Message
}
