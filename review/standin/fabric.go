package main

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// fabric is the platform's routers: it selects the node of each packet by a hash of its
// addresses and ports over the nodes in rotation, and probes the nodes.
type fabric struct {
	mu    sync.Mutex
	nodes []*node
	log   func(string)
}

// node is a host of the system as the routers know it.
type node struct {
	name, zone     string
	packets, ready netip.AddrPort
	missed         int
	in             bool
}

const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// run probes each node twice per second.
func (f *fabric) run(ctx context.Context) {
	for _, n := range f.nodes {
		go f.probe(ctx, n)
	}
}

func (f *fabric) probe(ctx context.Context, n *node) {
	caller := &http.Client{Timeout: probeInterval - 50*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		next := time.Now().Add(probeInterval)
		ok := false
		if response, err := caller.Get("http://" + n.ready.String() + "/guavawharf/ready"); err == nil {
			_ = response.Body.Close()
			ok = response.StatusCode == http.StatusOK
		}
		f.mu.Lock()
		n.missed++
		if ok {
			n.missed = 0
		}
		was := n.in
		n.in = ok || was && n.missed < maxMisses
		if was != n.in {
			f.log("fabric: " + n.name + map[bool]string{true: " is in rotation", false: " is out of rotation"}[n.in])
		}
		f.mu.Unlock()
		time.Sleep(time.Until(next))
	}
}

// pick returns the node of the zone for a packet between two ends. If fewer than half of the
// zone's nodes are in rotation, it uses all of them.
func (f *fabric) pick(zone string, src, dst netip.AddrPort) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in []*node
	for _, n := range f.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if n.in {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	h := fnv.New64a()
	for _, end := range []netip.AddrPort{src, dst} {
		b := end.Addr().As4()
		h.Write(b[:])
		h.Write(binary.BigEndian.AppendUint16(nil, end.Port()))
	}
	return in[h.Sum64()%uint64(len(in))].packets
}

// allIn reports whether every node is in rotation.
func (f *fabric) allIn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if !n.in {
			return false
		}
	}
	return true
}
