package scenarios

import (
	"bytes"
	"fmt"
	"net/netip"

	"github.com/rogpeppe/go-internal/testscript"
)

// mixedService is a service of the mixed load. It has targetsPerService targets.
type mixedService struct {
	name      string
	customer  string
	protocol  string
	mode      string
	exchange  string
	flowShare int // number of flows, as a multiple of the FLOWS argument
}

// targetsPerService is the number of targets of each service of the mixed load.
const targetsPerService = 4

// firstMixedTarget is the number of the first target of the mixed load; numbers below
// it are those of cmdLoad.
const firstMixedTarget = 20

var mixedServices = []mixedService{
	{name: "owner", customer: "painter", exchange: "deposit", protocol: "tcp", mode: "owner", flowShare: 3},
	{name: "hash", customer: "printer", exchange: "deposit", protocol: "tcp", mode: "hash", flowShare: 1},
	{name: "datagram", customer: "painter", exchange: "fetch", protocol: "udp", mode: "owner", flowShare: 1},
}

func (k mixedService) address(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(20 + index)}), 443)
}

// cmdMixed writes the same files as cmdLoad, for one service each of: TCP with
// forwarding by owner, TCP with forwarding by hash, and UDP with forwarding by owner.
func cmdMixed(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	flows, exchanges := parseInt(ts, args[0]), parseInt(ts, args[1])
	c.writeFile(ts, "upstreams.toml", c.mixedUpstreams())
	c.writeFile(ts, "callers.toml", c.mixedCallers(flows, exchanges))
	c.writeFile(ts, "first.toml", c.mixedNote())
}

func (c *cluster) mixedUpstreams() bytes.Buffer {
	text := c.commonUpstreamSettings()
	for i, kind := range mixedServices {
		for j := range targetsPerService {
			fmt.Fprintf(&text, "[[target]]\nid = \"%s-%d\"\naddress = %q\n", kind.name, j, c.mixedTargetAddress(i, j))
			fmt.Fprintf(&text, "service = %q\nprotocol = %q\n", kind.address(i), kind.protocol)
			fmt.Fprintf(&text, "slots = 3\nconnections = 2000\nservice_time = \"1ms\"\n")
		}
	}
	return text
}

func (c *cluster) mixedTargetAddress(kind, index int) netip.AddrPort {
	return c.targetAddress(firstMixedTarget + kind*targetsPerService + index)
}

func (c *cluster) mixedCallers(flows, exchanges int) bytes.Buffer {
	text := c.commonCallerSettings()
	for i, kind := range mixedServices {
		fmt.Fprintf(&text, "[[group]]\nname = %q\nservice = %q\n", kind.name, kind.address(i))
		fmt.Fprintf(&text, "protocol = %q\nflows = %d\nramp = \"6s\"\n", kind.protocol, flows*kind.flowShare)
		fmt.Fprintf(&text, "exchanges = %d\ninterval = \"1s\"\nkind = %q\nanswer_size = 500\n", exchanges, kind.exchange)
	}
	return text
}

func (c *cluster) mixedNote() bytes.Buffer {
	text, domains := c.noteHeader()
	fmt.Fprintf(&text, "[[set.customer]]\nid = \"painter\"\n[[set.customer]]\nid = \"printer\"\n")
	for i, kind := range mixedServices {
		fmt.Fprintf(&text, "[[add.service]]\nid = %q\ncustomer = %q\n", kind.name, kind.customer)
		fmt.Fprintf(&text, "address = %q\nprotocol = %q\nway = %q\n", kind.address(i), kind.protocol, kind.mode)
		for j := range targetsPerService {
			fmt.Fprintf(&text, "[[add.target]]\nid = \"%s-%d\"\nservice = %q\n", kind.name, j, kind.name)
			fmt.Fprintf(&text, "domain = %q\naddress = %q\n", c.hosts[j%domains].Domain, c.mixedTargetAddress(i, j))
		}
	}
	return text
}
