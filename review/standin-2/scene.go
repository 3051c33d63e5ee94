package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

type addrPort = netip.AddrPort

// Ports, the same on all machines.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	metricsPort = 9464
)

// bounds are those of the settings that matter here.
type bounds struct {
	configMillis, drainMillis, evacuateMillis int
	warmupOverage, warmupSlack                float64
}

// opening is the opening packet of a flow that a target took.
type opening struct {
	target  *target
	client  netip.AddrPort
	service netip.AddrPort
	at      time.Time
	cold    bool
}

// run is a request that a target ran.
type run struct {
	target *target
	key    flowKey
	id     string
}

// scene is one run of a case: the platform, the targets, the clients and the hosts.
type scene struct {
	start        time.Time
	dir          string
	net          byte
	store        *store
	storeAddress string
	fabric       *fabric
	hosts        []*host
	targets      []*target
	bounds       bounds
	trouble      bool

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	openings []opening
	runs     []run
	opens    map[flowKey]*target
	astray   map[flowKey]*stray
	counts   map[string]int
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newScene claims a free part of the loopback network and opens the record.
func newScene(folder string, b bounds) *scene {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	sc := &scene{
		start: time.Now(), dir: dir, record: bufio.NewWriter(file), file: file, bounds: b, trouble: os.Getenv("TROUBLE") != "0",
		store: newStore(), opens: map[flowKey]*target{}, astray: map[flowKey]*stray{}, counts: map[string]int{},
	}
	for sc.net = 60; sc.net < 250; sc.net++ {
		sc.storeAddress = fmt.Sprintf("127.%d.0.1:8169", sc.net)
		listener, err := net.Listen("tcp4", sc.storeAddress)
		if err != nil {
			continue
		}
		if !sc.portsFree() {
			_ = listener.Close()
			continue
		}
		go func() { _ = http.Serve(listener, sc.store) }()
		break
	}
	if sc.net == 250 {
		panic("no part of the loopback network is free")
	}
	sc.fabric = newFabric(sc)
	return sc
}

func (sc *scene) ip(group, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, sc.net, byte(group), byte(number)})
}

// portsFree reports whether the ports of the machines are free in this part of the network.
func (sc *scene) portsFree() bool {
	ip := sc.ip(10, 1)
	for _, port := range []uint16{packetPort, readyPort, controlPort, metricsPort} {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, port).String())
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// log writes a line to the record.
func (sc *scene) log(format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.write(format, args...)
}

// write is log for a caller that holds sc.mu.
func (sc *scene) write(format string, args ...any) {
	_, _ = fmt.Fprintf(sc.record, "%8.3f  %s\n", time.Since(sc.start).Seconds(), fmt.Sprintf(format, args...))
}

func (sc *scene) seconds(at time.Time) float64 { return at.Sub(sc.start).Seconds() }

func (sc *scene) count(what string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.counts[what]++
}

// newHost adds a machine to a zone; group is the third byte of its address.
func (sc *scene) newHost(zone string, group, number int) *host {
	ip := sc.ip(group, number)
	h := &host{
		sc: sc, zone: zone, name: fmt.Sprintf("edge-%s-%d", zone, number), ip: ip.String(),
		packets: netip.AddrPortFrom(ip, packetPort),
		ready:   netip.AddrPortFrom(ip, readyPort).String(), control: netip.AddrPortFrom(ip, controlPort).String(),
	}
	h.settings = filepath.Join(sc.dir, h.name+".toml")
	sc.hosts = append(sc.hosts, h)
	return h
}

// startHosts starts all hosts; the first of each zone, three at most, are the seeds.
func (sc *scene) startHosts() {
	for _, h := range sc.hosts {
		h.seeds = sc.seeds()
		h.writeSettings()
		h.start()
		go sc.fabric.probe(h)
	}
}

func (sc *scene) seeds() []string {
	var seeds []string
	zones := map[string]bool{}
	for _, h := range sc.hosts {
		if !zones[h.zone] && len(seeds) < 3 {
			zones[h.zone] = true
			seeds = append(seeds, h.control)
		}
	}
	return seeds
}

// took records the opening packet of a flow that a target took.
func (sc *scene) took(t *target, p packet, at time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cold := t.coldAt(at)
	sc.openings = append(sc.openings, opening{target: t, client: p.src, service: p.dst, at: at, cold: cold})
	if cold {
		sc.write("cold target %s takes the opening packet of %s", t.name, p.src)
	}
}

func (sc *scene) opened(t *target, key flowKey, _ time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.opens[key] = t
}

func (sc *scene) ran(t *target, key flowKey, id string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.runs = append(sc.runs, run{target: t, key: key, id: id})
	sc.write("target %s of %s runs request %s to %s", t.name, t.service, id, key.service)
}

// end ends all processes that the scene started and writes the counts.
func (sc *scene) end() {
	for _, h := range sc.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sc.dir)
	} else {
		fmt.Println("logs in", sc.dir)
	}
	sc.mu.Lock()
	var names []string
	for name := range sc.counts {
		names = append(names, name)
	}
	sc.mu.Unlock()
	sort.Strings(names)
	for _, name := range names {
		sc.log("%s: %d", name, sc.counts[name])
	}
}

// verdict writes the outcome and ends the program: 1 if the rule was broken, 0 if it held.
func (sc *scene) verdict(broken bool, format string, args ...any) {
	outcome := "the rule held"
	code := 0
	if broken {
		outcome, code = "THE RULE WAS BROKEN", 1
	}
	line := outcome + ": " + fmt.Sprintf(format, args...)
	sc.log("%s", line)
	fmt.Println(line)
	sc.close()
	os.Exit(code)
}

// impossible ends the program with 2: the case could not run.
func (sc *scene) impossible(format string, args ...any) {
	sc.end()
	sc.log("the case could not run: "+format, args...)
	fmt.Printf("the case could not run: "+format+"\n", args...)
	sc.close()
	os.Exit(2)
}

// close writes the record out.
func (sc *scene) close() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	_ = sc.record.Flush()
	_ = sc.file.Close()
}

// wait waits until the given time since the start of the scene.
func (sc *scene) wait(until time.Duration) { time.Sleep(until - time.Since(sc.start)) }

// await waits until a condition holds, for limit at most.
func (sc *scene) await(what string, limit time.Duration, holds func() bool) {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			sc.impossible("%s took longer than %s", what, limit)
		}
	}
}

// awaitReady waits until all hosts are in rotation.
func (sc *scene) awaitReady() {
	sc.await("the start of the hosts", 15*time.Second, func() bool {
		sc.fabric.mu.Lock()
		defer sc.fabric.mu.Unlock()
		for _, h := range sc.hosts {
			if sc.fabric.missed[h] != 0 {
				return false
			}
		}
		return true
	})
}
