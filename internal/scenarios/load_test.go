package scenarios

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/rogpeppe/go-internal/testscript"
)

// Port of the upstreams' control address, service and number of targets of the load.
const (
	portUpstreams = 7901
	loadService   = "198.51.100.10:443"
	loadTargets   = 6
)

// cmdLoad writes upstreams.toml, callers.toml and first.toml: one service with
// targets in all failure domains of the cluster, and args[0] flows that make
// args[1] exchanges each, one per second.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	c := clusterOf(ts)
	flows, exchanges := parseInt(ts, args[0]), parseInt(ts, args[1])
	c.writeFile(ts, "upstreams.toml", c.upstreamSettings())
	c.writeFile(ts, "callers.toml", c.callerSettings(flows, exchanges))
	c.writeFile(ts, "first.toml", c.firstNote())
}

func (c *cluster) writeFile(ts *testscript.TestScript, name string, text bytes.Buffer) {
	ts.Check(os.WriteFile(filepath.Join(c.dir, name), text.Bytes(), 0o600))
}

func (c *cluster) targetAddress(number int) netip.AddrPort { return c.address(number+100, portPackets) }

func (c *cluster) commonUpstreamSettings() bytes.Buffer {
	var text bytes.Buffer
	fmt.Fprintf(&text, "control = %q\n", c.address(2, portUpstreams))
	fmt.Fprintf(&text, "return = %q\n", c.address(1, portReturn))
	fmt.Fprintf(&text, "[report]\nplatform = \"http://%s\"\n", c.address(1, portPlatform))
	fmt.Fprintf(&text, "interval = \"1s\"\nlag = \"1s\"\n")
	return text
}

func (c *cluster) upstreamSettings() bytes.Buffer {
	text := c.commonUpstreamSettings()
	for i := range loadTargets {
		fmt.Fprintf(&text, "[[target]]\nid = \"feed-%d\"\naddress = %q\n", i, c.targetAddress(i))
		fmt.Fprintf(&text, "service = %q\nprotocol = \"tcp\"\n", loadService)
		fmt.Fprintf(&text, "slots = 3\nconnections = 2000\nservice_time = \"1ms\"\n")
	}
	return text
}

func (c *cluster) commonCallerSettings() bytes.Buffer {
	var text bytes.Buffer
	fmt.Fprintf(&text, "listen = %q\n", c.address(1, portReturn))
	fmt.Fprintf(&text, "platform = \"http://%s\"\n", c.address(1, portPlatform))
	fmt.Fprintf(&text, "upstreams = \"http://%s\"\n", c.address(2, portUpstreams))
	fmt.Fprintf(&text, "hosts = [")
	for _, host := range c.hosts {
		fmt.Fprintf(&text, "%q, ", host.Packets)
	}
	fmt.Fprintf(&text, "]\nseed = 1\nloss = 0.005\ndelay = \"1ms\"\njitter = \"1ms\"\n")
	fmt.Fprintf(&text, "workers = 2\nlimit = \"120s\"\n")
	return text
}

func (c *cluster) callerSettings(flows, exchanges int) bytes.Buffer {
	text := c.commonCallerSettings()
	fmt.Fprintf(&text, "[[group]]\nname = \"feed\"\nservice = %q\nprotocol = \"tcp\"\n", loadService)
	fmt.Fprintf(&text, "flows = %d\nramp = \"2s\"\nexchanges = %d\n", flows, exchanges)
	fmt.Fprintf(&text, "interval = \"1s\"\nkind = \"deposit\"\nanswer_size = 500\n")
	return text
}

// noteHeader returns the start of the first release note, which adds the failure
// domains, and their number.
func (c *cluster) noteHeader() (bytes.Buffer, int) {
	var text bytes.Buffer
	fmt.Fprintf(&text, "id = \"first\"\nbase = 0\n")
	domains := make(map[string]bool)
	for _, host := range c.hosts {
		if !domains[string(host.Domain)] {
			fmt.Fprintf(&text, "[[add.domain]]\nid = %q\n", host.Domain)
			domains[string(host.Domain)] = true
		}
	}
	return text, len(domains)
}

func (c *cluster) firstNote() bytes.Buffer {
	text, domains := c.noteHeader()
	fmt.Fprintf(&text, "[[set.customer]]\nid = \"painter\"\n")
	fmt.Fprintf(&text, "[[add.service]]\nid = \"feed\"\ncustomer = \"painter\"\naddress = %q\n", loadService)
	for i := range loadTargets {
		fmt.Fprintf(&text, "[[add.target]]\nid = \"feed-%d\"\nservice = \"feed\"\n", i)
		fmt.Fprintf(&text, "domain = %q\naddress = %q\n", c.hosts[i%domains].Domain, c.targetAddress(i))
	}
	return text
}
