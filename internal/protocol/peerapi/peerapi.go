// Package peerapi defines the net/rpc interface between guavaedge hosts. A host uses it
// to read from another host what that host has read from the store.
package peerapi

import (
	"net/netip"
	"time"

	"github.com/guavawharf/guavawharf/internal/coordination/hostlist"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Version is the version of this interface. A query of another version gets an empty
// reply.
const Version = 2

// Names of the net/rpc service and its methods.
const (
	Service         = "Reads"
	MethodRead      = Service + ".Read"
	MethodStepAside = Service + ".StepAside"
	MethodReport    = Service + ".Report"
	MethodNotify    = Service + ".Notify"
)

// Query is the argument of MethodRead.
type Query struct {
	Version int
	// From is the control address of the requesting host.
	From  netip.AddrPort
	Reads []Read
	// Domain is the failure domain of the requesting host, Hosts what it tells of the hosts
	// below it; nil if it does not.
	Domain state.DomainID
	Hosts  *hostlist.Report
}

// Read requests objects of one kind.
type Read struct {
	Kind string
	// List requests the objects whose keys sort after Key. Without it, the read requests
	// the changes after revision After.
	List  bool
	Key   string
	After uint64
	// Era is the era of After, 0 if the requesting host knows nothing yet. A host that
	// knows another era does not answer.
	Era objects.Era
	// NewerConfig requests the configuration in force at the other host if its version is
	// above ConfigVersion. The other fields but Kind are ignored.
	NewerConfig   bool
	ConfigVersion uint64
}

// Reply answers a Query. It is empty if the host is leaving or does not support the
// query's version.
type Reply struct {
	// Answers holds one answer for each read of the query, in the same order.
	Answers []Answer
	// Instead redirects the requesting host to the control address of another host. It
	// is the zero address for no redirect.
	Instead netip.AddrPort
	// Hosts answers the query's Hosts.
	Hosts hostlist.Answer
}

// Answer answers a Read.
type Answer struct {
	// Known reports whether the host has the requested data; if not, Page is to be
	// ignored.
	Known bool
	// TooLarge is set instead of Known if the answer would saturate the host's network
	// link. The requesting host then has to read from the store.
	TooLarge bool
	// Age is the time since the read that the answer is based on was requested. It
	// includes time during which the host was suspended.
	Age  time.Duration
	Page objects.Page
	// Era is the store's era that the host knows, also if it does not have the data.
	Era objects.Era
	// Doubt is the rest of the grace period in which a missing object does not prove
	// that its target is gone: the store was unavailable, and entries of running targets
	// may have expired meanwhile.
	Doubt time.Duration
}

// Report tells that targets were found down.
type Report struct {
	Version int
	// From is the control address of the host that sends or passes on the report.
	From    netip.AddrPort
	Targets []catalog.TargetID
}

// ReportReply answers a Report.
type ReportReply struct{}

// Notice tells a host that reads from this one that objects of a kind have changed. It
// holds no data: the host is to read them.
type Notice struct {
	Version int
	// From is the control address of the host that sends the notice.
	From netip.AddrPort
	Kind string
}

// NoticeReply answers a Notice.
type NoticeReply struct{}

// StepAsideQuery requests permission for an overloaded host to step aside, which means
// to report not ready for a while.
type StepAsideQuery struct {
	Version int
	// From is the control address of the requesting host.
	From netip.AddrPort
}

// StepAsideReply answers a StepAsideQuery.
type StepAsideReply struct {
	// For is how long the host may step aside. 0 denies the request.
	For time.Duration
}
