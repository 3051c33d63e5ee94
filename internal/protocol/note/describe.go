package note

import (
	"fmt"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/guavawharf/guavawharf/internal/state"
)

// Forms of values.
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
		{Name: "id", Unit: formName, Range: rangeName, Meaning: "Unique name of the note; the same id is never applied twice."},
		{Name: "base", Unit: "release", Range: tomldoc.Span(0, maxVersion), Meaning: "Release that the note changes; 0 for the first note."},
		{Name: "deadline", Unit: formDuration, Default: DefaultDeadline.String(), Range: tomldoc.Span(MinDeadline, MaxDeadline), Meaning: "How long staging may take before the note is refused everywhere."},
		{Name: "without", Unit: formNames, Default: tomldoc.None, Range: rangeName, Meaning: "Failure domains that the note goes ahead without."},
		{Name: "set.customer[].id", Unit: formName, Range: rangeName, Meaning: "Customer to add or change."},
		{Name: "set.customer[].weight", Unit: formCount, Default: "1", Range: tomldoc.Span(state.MinWeight, maxCustomerWeight), Meaning: "Weight of the customer's max-min share."},
		{Name: "add.domain[].id", Unit: formName, Range: rangeName, Meaning: "Failure domain that takes part in releases from now on."},
	}
	keys = append(keys, describeServices()...)
	keys = append(keys, describeTargets()...)
	for _, item := range []string{"target", "service", "customer", "domain"} {
		name := "withdraw." + item + "[].id"
		keys = append(keys, tomldoc.Key{Name: name, Unit: formName, Range: rangeName, Meaning: "Existing " + item + " to withdraw."})
	}
	return keys
}

func describeServices() []tomldoc.Key {
	ways := "`owner` or `hash`"
	return []tomldoc.Key{
		{Name: "add.service[].id", Unit: formName, Range: rangeName, Meaning: "Unique name of the service."},
		{Name: "add.service[].customer", Unit: formName, Range: rangeName, Meaning: "Customer that the service belongs to."},
		{Name: "add.service[].protocol", Unit: formChoice, Default: "tcp", Range: "`tcp` or `udp`", Meaning: "Transport protocol."},
		{Name: "add.service[].address", Unit: formAddress, Range: rangeAddress, Meaning: "Destination of callers' packets."},
		{Name: "add.service[].way", Unit: formChoice, Default: WayOwner, Range: ways, Meaning: "How flows find their target."},
		{Name: "add.service[].idle_timeout", Unit: formDuration, Default: DefaultIdleTimeout.String(), Range: tomldoc.Span(MinIdleTimeout, MaxIdleTimeout), Meaning: "When a flow that sends nothing is forgotten."},
		{Name: "change.service[].id", Unit: formName, Range: rangeName, Meaning: "Existing service to change."},
		{Name: "change.service[].way", Unit: formChoice, Default: tomldoc.Unchanged, Range: ways, Meaning: "How flows find their target."},
		{Name: "change.service[].idle_timeout", Unit: formDuration, Default: tomldoc.Unchanged, Range: tomldoc.Span(MinIdleTimeout, MaxIdleTimeout), Meaning: "When a flow that sends nothing is forgotten."},
	}
}

func describeTargets() []tomldoc.Key {
	weights := tomldoc.Span(state.MinWeight, state.MaxWeight)
	slots := tomldoc.Span(1, maxSlots)
	connections := tomldoc.Span(1, maxConnections)
	return []tomldoc.Key{
		{Name: "add.target[].id", Unit: formName, Range: rangeName, Meaning: "Unique name of the target."},
		{Name: "add.target[].service", Unit: formName, Range: rangeName, Meaning: "Service that the target answers for."},
		{Name: "add.target[].domain", Unit: formName, Range: rangeName, Meaning: "Failure domain that the target is in."},
		{Name: "add.target[].address", Unit: formAddress, Range: rangeAddress, Meaning: "Where the target receives IP inside UDP."},
		{Name: "add.target[].weight", Unit: formCount, Default: "1", Range: weights, Meaning: "Scales the target's share of new flows."},
		{Name: "add.target[].slots", Unit: formCount, Default: fmt.Sprint(DefaultSlots), Range: slots, Meaning: "Requests that the target works on at once."},
		{Name: "add.target[].connections", Unit: formCount, Default: fmt.Sprint(DefaultConnections), Range: connections, Meaning: "Open flows that the target takes."},
		{Name: "change.target[].id", Unit: formName, Range: rangeName, Meaning: "Existing target to change."},
		{Name: "change.target[].weight", Unit: formCount, Default: tomldoc.Unchanged, Range: weights, Meaning: "Scales the target's share of new flows."},
		{Name: "change.target[].slots", Unit: formCount, Default: tomldoc.Unchanged, Range: slots, Meaning: "Requests that the target works on at once."},
		{Name: "change.target[].connections", Unit: formCount, Default: tomldoc.Unchanged, Range: connections, Meaning: "Open flows that the target takes."},
		{Name: "change.target[].leaving", Unit: formBool, Default: tomldoc.Unchanged, Range: "`true` or `false`", Meaning: "A leaving target keeps its open flows and gets no new ones."},
	}
}
