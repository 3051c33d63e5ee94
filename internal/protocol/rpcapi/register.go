package rpcapi

import (
	"encoding/gob"
	"fmt"

	"github.com/guavawharf/guavawharf/internal/coordination/message"
)

// RegisterMessages makes the types of the given zero values known to gob under
// short names, such as "membership.Probe". Both ends of a connection call it
// before the first message. Registering a type again is harmless.
func RegisterMessages(messages ...message.Message) {
	for _, m := range messages {
		gob.RegisterName(fmt.Sprintf("%T", m), m)
	}
}
