package note

import (
	"fmt"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Types and ranges as the documentation shows them.
const (
	formName     = "name"
	formNames    = "names"
	formAddress  = "IP:port"
	formDuration = "duration"
	formCount    = "count"
	formChoice   = "choice"
	formBool     = "true or false"

	rangeName    = tomldoc.NameRange
	rangeAddress = "a numeric IP address with a port from 1 to 65535"
)

// Describe returns every key of a note in the order of the documentation.
func Describe() []tomldoc.Key {
	keys := []tomldoc.Key{
		{Name: "id", Form: formName, Range: rangeName, Meaning: "Unique name of the note; the same id is never applied twice."},
		{Name: "base", Form: "release", Range: tomldoc.InclusiveRange(0, maxVersion), Meaning: "Release that the note changes; 0 for the first note."},
		{Name: "deadline", Form: formDuration, Default: DefaultDeadline.String(), Range: tomldoc.InclusiveRange(MinDeadline, MaxDeadline), Meaning: "How long staging may take before the note is refused everywhere."},
		{Name: "without", Form: formNames, Default: tomldoc.None, Range: rangeName, Meaning: "Failure domains whose agreement the note does not wait for."},
		{Name: "set.customer[].id", Form: formName, Range: rangeName, Meaning: "Customer to add or change."},
		{Name: "set.customer[].weight", Form: formCount, Default: "1", Range: tomldoc.InclusiveRange(state.MinWeight, maxCustomerWeight), Meaning: "Weight of the customer's max-min share."},
		{Name: "add.domain[].id", Form: formName, Range: rangeName, Meaning: "Failure domain that takes part in releases from now on."},
	}
	keys = append(keys, describeServices()...)
	keys = append(keys, describeTargets()...)
	for _, item := range []string{"target", "service", "customer", "domain"} {
		name := "withdraw." + item + "[].id"
		keys = append(keys, tomldoc.Key{Name: name, Form: formName, Range: rangeName, Meaning: "Existing " + item + " to withdraw."})
	}
	return keys
}

func describeServices() []tomldoc.Key {
	modes := "`owner` or `hash`"
	return []tomldoc.Key{
		{Name: "add.service[].id", Form: formName, Range: rangeName, Meaning: "Unique name of the service."},
		{Name: "add.service[].customer", Form: formName, Range: rangeName, Meaning: "Customer that the service belongs to."},
		{Name: "add.service[].protocol", Form: formChoice, Default: "tcp", Range: "`tcp` or `udp`", Meaning: "Transport protocol."},
		{Name: "add.service[].address", Form: formAddress, Range: rangeAddress, Meaning: "Destination of callers' packets."},
		{Name: "add.service[].way", Form: formChoice, Default: ModeOwner, Range: modes, Meaning: "Forwarding mode: how the target of a flow is found."},
		{Name: "add.service[].idle_timeout", Form: formDuration, Default: DefaultIdleTimeout.String(), Range: tomldoc.InclusiveRange(MinIdleTimeout, MaxIdleTimeout), Meaning: "Time after which a flow that sends nothing is removed."},
		{Name: "change.service[].id", Form: formName, Range: rangeName, Meaning: "Existing service to change."},
		{Name: "change.service[].way", Form: formChoice, Default: tomldoc.Unchanged, Range: modes, Meaning: "Forwarding mode: how the target of a flow is found."},
		{Name: "change.service[].idle_timeout", Form: formDuration, Default: tomldoc.Unchanged, Range: tomldoc.InclusiveRange(MinIdleTimeout, MaxIdleTimeout), Meaning: "Time after which a flow that sends nothing is removed."},
	}
}

func describeTargets() []tomldoc.Key {
	weights := tomldoc.InclusiveRange(state.MinWeight, state.MaxWeight)
	slots := tomldoc.InclusiveRange(1, maxSlots)
	connections := tomldoc.InclusiveRange(1, maxConnections)
	return []tomldoc.Key{
		{Name: "add.target[].id", Form: formName, Range: rangeName, Meaning: "Unique name of the target."},
		{Name: "add.target[].service", Form: formName, Range: rangeName, Meaning: "Service that the target belongs to."},
		{Name: "add.target[].domain", Form: formName, Range: rangeName, Meaning: "Failure domain that the target is in."},
		{Name: "add.target[].address", Form: formAddress, Range: rangeAddress, Meaning: "Where the target receives IP packets encapsulated in UDP."},
		{Name: "add.target[].weight", Form: formCount, Default: "1", Range: weights, Meaning: "Weight that scales the target's share of new flows."},
		{Name: "add.target[].slots", Form: formCount, Default: fmt.Sprint(DefaultSlots), Range: slots, Meaning: "Requests that the target processes at the same time."},
		{Name: "add.target[].connections", Form: formCount, Default: fmt.Sprint(DefaultConnections), Range: connections, Meaning: "Largest number of open flows of the target."},
		{Name: "change.target[].id", Form: formName, Range: rangeName, Meaning: "Existing target to change."},
		{Name: "change.target[].weight", Form: formCount, Default: tomldoc.Unchanged, Range: weights, Meaning: "Weight that scales the target's share of new flows."},
		{Name: "change.target[].slots", Form: formCount, Default: tomldoc.Unchanged, Range: slots, Meaning: "Requests that the target processes at the same time."},
		{Name: "change.target[].connections", Form: formCount, Default: tomldoc.Unchanged, Range: connections, Meaning: "Largest number of open flows of the target."},
		{Name: "change.target[].leaving", Form: formBool, Default: tomldoc.Unchanged, Range: "`true` or `false`", Meaning: "A leaving target keeps its open flows and gets no new ones."},
	}
}
