package rpcapi

import (
	"encoding/gob"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
)

// RegisterMessages registers message types with gob under their names on the
// wire. Both ends of a connection call it before the first message. Registering
// a type again under the same name has no effect.
func RegisterMessages(registrations ...message.Registration) {
	for _, r := range registrations {
		gob.RegisterName(r.Name, r.Message)
	}
}
