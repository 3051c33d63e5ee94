package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestEstablishedPacketFollowsCookieWithoutFlowState(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"), orderTarget(3, "c"))
	for number := 1; number <= 3; number++ {
		c := f.newClient(feedAddress)
		c.cookie = orderTarget(number, "a").ID.Cookie()
		verdict := c.sendRequest()
		require.Equal(t, ActionForward, verdict.Action)
		require.Equal(t, orderTarget(number, "a").ID, verdict.Target.ID)
	}
}

func TestCookieOfAnotherServiceIsDropped(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	c := f.newClient(feedAddress)
	c.cookie = newTarget(2, "a", proofPool).ID.Cookie()
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendRequest())
}

func TestUnknownCookieIsDroppedNotReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	c := f.newClient(feedAddress)
	c.cookie = 77
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendRequest())
}

// A client may still have a flow at a target that crashed before this host started. It
// is reset only once a later read of the targets shows that the target is gone.
func TestFlowOfUnknownTargetIsResetOnceTargetsWereReread(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	f.directory.RemoveUnlisted(f.now, map[string]bool{"t1": true, "t2": true})
	f.publish()
	c := f.newClient(depositAddress)
	c.cookie = 77
	require.Equal(t, ReasonUnknownCookie, c.sendRequest().Reason)
	require.True(t, f.engine.DrainReadRequests().Targets)
	f.engine.SetTargetsReadAt(f.now + time.Millisecond)
	f.now += 200 * time.Millisecond
	require.Equal(t, ReasonTargetUnknown, c.sendRequest().Reason)
	require.Equal(t, ActionReset, c.sendRequest().Action)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action)
	c.cookie = newTarget(2, "a", proofPool).ID.Cookie()
	require.Equal(t, ActionDrop, c.sendRequest().Action, "a cookie of another pool's target proves nothing about the flow")
	f.directory.RecordStoreFailure(f.now + time.Second)
	f.publish()
	c.cookie = 77
	require.Equal(t, ActionDrop, c.sendRequest().Action, "the target's entry may have expired while the store was unreachable")
}

// A host that was paused must not reset the flows of a target that started meanwhile and
// that the other hosts know (seen in the soak test with seed 27).
func TestFlowOfTargetNotYetReadIsNotReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	f.directory.RemoveUnlisted(f.now, map[string]bool{"t1": true})
	f.publish()
	f.engine.SetTargetsReadAt(f.now)
	f.now += 3 * time.Second
	c := f.newClient(feedAddress)
	c.cookie = orderTarget(2, "a").ID.Cookie()
	for range 5 {
		require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendUncounted())
		require.True(t, f.engine.DrainReadRequests().Targets, "another read may return the target")
		f.now += 200 * time.Millisecond
	}
	f.directory.Put(0, orderTarget(2, "a"))
	f.publish()
	f.engine.SetTargetsReadAt(f.now)
	require.Equal(t, ActionForward, c.sendUncounted().Action)
}

func TestWithoutConfigurationEveryPacketIsDropped(t *testing.T) {
	f := newEmptyFixture(t)
	require.Equal(t, Verdict{Reason: ReasonNotReady}, f.newClient(feedAddress).sendSYN())
	f.publish()
	require.Equal(t, Verdict{Reason: ReasonNotReady}, f.newClient(feedAddress).sendSYN())
}

func TestAddressWithoutRouteIsReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	c := f.newClient(unroutedAddress)
	verdict := c.sendSYN()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoRoute, verdict.Reason)
	require.Equal(t, c.address, verdict.Client)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action, "a RST is never answered by a RST")
}

// Another host may have opened the flow under a newer configuration.
func TestOpenFlowOfUnknownRouteIsNotReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonRouteUnknown}, f.newClient(unroutedAddress).sendRequest())
}

func TestFlowIsResetWhenRouteIsRemovedButNotWhenPoolsChange(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	feed, proof := f.establishAt(feedAddress, "t1"), f.establishAt(proofAddress, "t2")
	f.directory.SetConfig(catalog.Config{Version: 2, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}, Idempotent: true},
	}})
	f.publish()
	verdict := feed.sendRequest()
	require.Equal(t, ActionForward, verdict.Action)
	require.Equal(t, "t1", verdict.Target.Name, "only new flows go to the route's new pool")
	require.Equal(t, Verdict{Reason: ReasonRouteUnknown}, proof.sendRequest())
	f.readConfigAgain()
	verdict = proof.retransmit()
	require.Equal(t, ReasonRouteRemoved, verdict.Reason)
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, proof.ack, verdict.Seq, "the sequence number of a reset must be near the client's last acknowledgement")
	require.Equal(t, "t2", f.newClient(feedAddress).sendSYN().Target.Name)
}

func TestDrainingTargetKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	leaving := orderTarget(1, "a")
	leaving.Draining = true
	f.directory.Put(0, leaving)
	f.publish()
	for range 50 {
		require.Equal(t, "t2", f.newClient(feedAddress).sendSYN().Target.Name)
	}
	require.Equal(t, "t1", c.sendRequest().Target.Name)
	f.directory.Remove(f.now, "t1")
	f.publish()
	require.Equal(t, "t1", c.ackAnswer().Target.Name, "the flow continues after the target's entry was removed")
}

func TestUnansweredSYNIsRetriedAtAnotherTarget(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.newClient(feedAddress)
	first := c.sendSYN()
	require.Empty(t, f.advance(initialTimeoutLocal-time.Millisecond))
	verdicts := f.advance(time.Millisecond)
	require.Len(t, verdicts, 1)
	require.Equal(t, ReasonRetried, verdicts[0].Reason)
	require.True(t, verdicts[0].SYN)
	require.Equal(t, []byte("syn"), verdicts[0].Raw)
	require.NotEqual(t, first.Target.ID, verdicts[0].Target.ID)
	f.now += 4 * time.Millisecond
	require.Equal(t, initialTimeoutLocal+4*time.Millisecond, c.confirmOpen(verdicts[0].Target).HandshakeTime)
	require.Zero(t, c.sendRequest().HandshakeTime)
	require.Empty(t, f.advance(time.Second), "the SYN of an open flow is not retried")
}

// A second target's answer would give the client another cookie for an open flow.
func TestLateSYNRetransmissionOfOpenFlowIsDropped(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.newClient(feedAddress)
	verdict := c.sendSYN()
	f.now += 201 * time.Millisecond
	c.confirmOpen(verdict.Target)
	late := Packet{SYN: true, Seq: c.seq - 1, Ack: 1, Raw: []byte("syn")}
	require.Equal(t, Verdict{Reason: ReasonAlreadyOpen}, c.send(late))
	require.Equal(t, verdict.Target.ID, c.sendRequest().Target.ID)
	late.Seq = 777
	require.Equal(t, ReasonPlaced, c.send(late).Reason, "another sequence number means that the client reused its port")
}

// Opens flows one after the other while one of three targets is unreachable.
func TestSYNIsServedWithin100msWhileATargetIsUnreachable(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "b"))
	unreachable := orderTarget(1, "a").ID
	for range 40 {
		c := f.newClient(depositAddress)
		began := f.now
		verdict := c.sendSYN()
		for verdict.Target.ID == unreachable {
			verdicts := f.advance(time.Millisecond)
			if len(verdicts) > 0 {
				verdict = verdicts[0]
			}
		}
		f.now += 4 * time.Millisecond
		c.confirmOpen(verdict.Target)
		require.LessOrEqual(t, f.now-began, 100*time.Millisecond)
		f.runChecks(func(id catalog.TargetID) bool { return id != unreachable })
	}
}

func TestDownTargetGetsNoNewFlowsUntilCheckPasses(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.newClient(feedAddress)
	first := c.sendSYN().Target
	c.confirmOpen(f.advance(initialTimeoutLocal)[0].Target)
	require.Equal(t, 1, f.runChecks(noneAlive))
	require.Equal(t, []HealthChange{{ID: first.ID, Target: first.Name, Domain: "a", Down: true, Missed: 1, Silence: f.now - time.Second}}, f.engine.DrainHealthChanges())
	for range 50 {
		require.NotEqual(t, first.ID, f.newClient(feedAddress).establish().ID)
	}
	f.advance(checkInterval)
	checks := f.engine.DrainChecks()
	require.Len(t, checks, 1)
	require.Equal(t, first.Name, checks[0].ExpectedName, "the address may belong to another target by now")
	f.engine.RecordCheck(f.now, checks[0].Target, CheckPassed)
	f.establishAt(feedAddress, first.Name)
}

func TestSYNIsForwardedThoughAllTargetsAreDown(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	c := f.newClient(feedAddress)
	c.sendSYN()
	f.advance(initialTimeoutLocal)
	f.runChecks(noneAlive)
	require.Equal(t, ActionForward, f.newClient(feedAddress).sendSYN().Action)
}

// All targets may drain at once when a release replaces them all.
func TestOpenFlowsContinueWhileAllTargetsDrain(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	f.directory.RemoveUnlisted(f.now, map[string]bool{"t1": true})
	c := f.establishAt(feedAddress, "t1")
	leaving := orderTarget(1, "a")
	leaving.Draining = true
	f.directory.Put(0, leaving)
	f.publish()
	require.False(t, f.engine.view.Ready())
	require.Equal(t, ActionForward, c.sendRequest().Action)
	require.Equal(t, ReasonNoTarget, f.newClient(feedAddress).sendSYN().Reason)
}

func TestSYNToEmptyPoolIsReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonNoTarget}, f.newClient(proofAddress).sendSYN(), "entries may have expired")
	f.directory.RemoveUnlisted(f.now, map[string]bool{"t1": true})
	f.publish()
	verdict := f.newClient(proofAddress).sendSYN()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoTarget, verdict.Reason)
}

// Guards against silence towards callers for as long as one entry can't be read.
func TestUnreadableEntryDelaysNoRefusalAndNoReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"))
	f.directory.RemoveUnlisted(f.now, map[string]bool{"t1": true})
	f.directory.PutUnreadable(f.now, "t9", orderTarget(9, "a").ID)
	f.publish()
	require.Equal(t, ActionReset, f.newClient(proofAddress).sendSYN().Action, "the entry names no target to use")
	gone, doubtful := f.newClient(feedAddress), f.newClient(feedAddress)
	gone.cookie, doubtful.cookie = 77, orderTarget(9, "a").ID.Cookie()
	require.Equal(t, ActionDrop, gone.sendRequest().Action)
	require.Equal(t, ActionDrop, doubtful.sendRequest().Action)
	f.readTargetsAgain()
	require.Equal(t, ReasonTargetUnknown, gone.retransmit().Reason)
	require.Equal(t, ActionDrop, doubtful.retransmit().Action, "the target may be running")
}

func TestFlowsOfDownTargetAreReset(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	waiting, idle := f.establishAt(feedAddress, "t1"), f.establishAt(feedAddress, "t1")
	nonIdempotent, other := f.establishAt(depositAddress, "t1"), f.establishAt(feedAddress, "t2")
	nonIdempotentIdle := f.establishAt(depositAddress, "t1")
	waiting.sendRequest()
	nonIdempotent.sendRequest()
	other.sendRequest()
	f.now += 200 * time.Millisecond
	require.Equal(t, ActionForward, waiting.retransmit().Action, "one retransmission without a failed check is no evidence")
	require.Equal(t, 1, f.runChecks(noneAlive))

	resets := f.advance(0)
	require.Len(t, resets, 1, "flows at the other target and flows that are not idempotent are not reset")
	require.Equal(t, waiting.address, resets[0].Client)
	require.Equal(t, waiting.ack, resets[0].Seq)
	require.Equal(t, ActionReset, idle.sendRequest().Action, "a new request is not forwarded")
	require.Equal(t, ActionReset, nonIdempotentIdle.sendRequest().Action, "a new request that is not idempotent is not forwarded either")
	require.Equal(t, ActionForward, nonIdempotent.retransmit().Action, "a request that is not idempotent and may have been executed is never reset")
	require.Equal(t, ActionForward, other.ackAnswer().Action)
}

func TestNoFlowIsResetWhileChecksPass(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	for range 8 {
		f.now += 700 * time.Millisecond
		require.Equal(t, ActionForward, c.retransmit().Action)
		f.runChecks(allAlive)
		require.Empty(t, f.advance(0))
	}
}

func TestExpiredEvidenceResetsNothing(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	f.now += 200 * time.Millisecond
	c.retransmit()
	f.runChecks(noneAlive)
	f.now += maxEvidenceAge + time.Millisecond
	other := f.newClient(feedAddress)
	other.cookie = orderTarget(1, "a").ID.Cookie()
	require.Equal(t, ActionForward, other.sendRequest().Action, "the failed check is too old")
}

// When the first packet of an answer came late, the client resent its last
// acknowledgement 150 ms after its request. Taken for a retransmission, this reset flows
// of running targets.
func TestDuplicateAckWhileWaitingCountsAsAnswer(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	f.now += 150 * time.Millisecond
	c.sendAck()
	require.Zero(t, f.runChecks(noneAlive))
	require.Zero(t, f.engine.targets.byID[orderTarget(1, "a").ID].waiting)
}

// Two crashed targets must not be taken for a failure of their whole failure domain:
// flows at a third target there were reset.
func TestTwoDownTargetsDoNotMarkTheirDomainDown(t *testing.T) {
	f := newFixture(t, orderTarget(1, "b"), orderTarget(2, "b"), orderTarget(3, "b"))
	third := f.establishAt(feedAddress, "t3")
	for _, name := range []string{"t1", "t2"} {
		c := f.establishAt(feedAddress, name)
		c.sendRequest()
		f.now += 200 * time.Millisecond
		c.retransmit()
	}
	f.runChecks(func(id catalog.TargetID) bool { return id == orderTarget(3, "b").ID })
	third.sendRequest()
	f.now += 300 * time.Millisecond
	require.Equal(t, ActionForward, third.retransmit().Action)
	require.Equal(t, ActionForward, third.sendRequest().Action)
}

// A network partition between failure domains hides all targets of the other side at
// once.
func TestDownRemoteTargetTriggersChecksOfItsDomain(t *testing.T) {
	f := newFixture(t, orderTarget(1, "b"), orderTarget(2, "b"), orderTarget(3, "b"))
	first := f.establishAt(feedAddress, "t1")
	second := f.establishAt(feedAddress, "t2")
	f.establishAt(feedAddress, "t3")
	first.sendRequest()
	second.sendRequest()
	f.now += 200 * time.Millisecond
	first.retransmit()
	require.Equal(t, 1, f.runChecks(noneAlive))
	require.Equal(t, 2, f.runChecks(noneAlive), "the other targets with flows in the domain")
	require.Len(t, f.advance(0), 2, "one retransmission at one target resets the flows of both")
}

// Guards against resets of flows that were opened since a target's restart, by a host that
// learns of the restart later (review case 2). A flow that ended with it is reset by the target
// itself, as soon as it gets any packet of it.
func TestTargetThatRestartedIsAskedForFlowsThatAwaitItsAnswer(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	waiting, unsafe, idle := f.establishAt(feedAddress, "t1"), f.establishAt(depositAddress, "t1"), f.establishAt(feedAddress, "t1")
	other := f.establishAt(feedAddress, "t2")
	for _, c := range []*testClient{waiting, unsafe, other} {
		c.send(Packet{Seq: c.seq, Ack: c.ack, Raw: []byte("ack of " + c.address.String())})
		c.sendRequest()
	}
	again := orderTarget(1, "a")
	again.StartMillis = 2
	again.Address = netip.MustParseAddrPort("10.128.0.77:8080")
	f.directory.Put(0, again)
	f.publish()
	asked := f.advance(0)
	require.Len(t, asked, 2)
	for _, verdict := range asked {
		require.Equal(t, ActionForward, verdict.Action)
		require.Equal(t, ReasonTargetRestarted, verdict.Reason)
		require.Equal(t, again.Address, verdict.Target.Address)
		require.Equal(t, "ack of "+verdict.Client.String(), string(verdict.Raw), "as the client sent it")
		require.Contains(t, []netip.AddrPort{waiting.address, unsafe.address}, verdict.Client)
	}
	require.Empty(t, f.advance(0), "once")
	require.Equal(t, ActionForward, waiting.retransmit().Action)
	require.Equal(t, ActionForward, idle.sendRequest().Action)
}

// An entry that lost its start time, got it back, or is from before the target's start must
// not end the requests that the target works on.
func TestOldOrIncompleteEntryIsNoRestart(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	for _, start := range []int64{5, 0, 5, 3} {
		entry := orderTarget(1, "a")
		entry.StartMillis = start
		f.directory.Put(0, entry)
		if start == 5 {
			f.engine.targets.byID[entry.ID].startedAt = start
		}
		f.publish()
		require.Empty(t, f.advance(0), "start time %d", start)
	}
}

func TestExpiredFlowsLeaveNoLoadCounts(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"))
	for range 50 {
		f.establishAt(feedAddress, "t1").sendRequest()
		f.newClient(depositAddress).sendSYN()
	}
	f.advance(clientConnectTimeout)
	f.advance(time.Minute)
	f.advance(time.Minute)
	require.Zero(t, f.engine.FlowCount())
	require.Empty(t, f.engine.pending)
	for _, r := range f.engine.targets.byID {
		require.Zero(t, r.pendingSYNs+r.waiting+r.openFlows, r.name)
	}
}

// The host's own link may delay packets; a target that answered recently shows whether it
// does.
func TestCheckWitnessesAreTheLatestToAnswer(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "a"), orderTarget(4, "b"), orderTarget(5, "b"))
	for _, name := range []string{"t2", "t3", "t4", "t5"} {
		f.now += 10 * time.Millisecond
		f.establishAt(feedAddress, name)
	}
	r := f.engine.targets.byID[orderTarget(1, "a").ID]
	f.engine.targets.byID[orderTarget(5, "b").ID].down = true
	witnesses := f.engine.targets.witnesses(r)
	require.Equal(t, []netip.AddrPort{orderTarget(3, "a").Address, orderTarget(4, "b").Address}, witnesses)
}

// The host's link is full: no connection succeeds in time, though answers to earlier
// packets still arrive. However often a target is checked, no flow is reset and no target
// marked down. Once no target answers any more, the host counts as isolated.
func TestTimeoutOfAllProvesNothingUntilHostIsIsolated(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	other := f.establishAt(feedAddress, "t2")
	c.sendRequest()
	other.sendRequest()
	f.now += 200 * time.Millisecond
	c.retransmit()
	for range 10 {
		checks := f.engine.DrainChecks()
		require.Len(t, checks, 1, "the check is repeated at once")
		other.ackAnswer()
		other.sendRequest()
		f.now += 120 * time.Millisecond
		f.engine.RecordCheck(f.now, checks[0].Target, CheckAllTimedOut)
		require.Empty(t, f.engine.DrainHealthChanges())
		require.Empty(t, f.engine.HandleDeadlines(f.now, nil))
	}
	lastAnswer := f.now
	for len(f.engine.targets.healthChanges) == 0 {
		checks := f.engine.DrainChecks()
		require.Len(t, checks, 1)
		f.now += 120 * time.Millisecond
		f.engine.RecordCheck(f.now, checks[0].Target, CheckAllTimedOut)
	}
	require.GreaterOrEqual(t, f.now-lastAnswer, isolatedAfter-120*time.Millisecond)
	require.Less(t, f.now-lastAnswer, isolatedAfter+120*time.Millisecond)
	changes := f.engine.DrainHealthChanges()
	require.Len(t, changes, 1)
	require.True(t, changes[0].Down)
}

// Under five times the usual traffic targets accepted no connection within a check but
// went on answering, and their open flows were reset. A request that reached the target
// is not retransmitted, so only a retransmission is evidence.
func TestBusyTargetThatAcceptsNoConnectionKeepsItsFlows(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := f.establishAt(feedAddress, "t1")
	other := f.establishAt(feedAddress, "t1")
	c.sendRequest()
	other.sendRequest()
	f.now += 30 * time.Millisecond
	r := f.engine.targets.byID[orderTarget(1, "a").ID]
	f.engine.targets.recordMiss(f.now, r, false)
	f.now += 120 * time.Millisecond
	require.Equal(t, 1, f.runChecks(noneAlive))
	require.Empty(t, f.engine.HandleDeadlines(f.now, nil), "an unanswered SYN and a failed check reset nothing")
	require.Len(t, f.engine.DrainHealthChanges(), 1, "the target is marked down for new flows")
	f.now += 100 * time.Millisecond
	require.Equal(t, ActionReset, c.retransmit().Action, "a running target acknowledges data at once")
	resets := f.engine.HandleDeadlines(f.now, nil)
	require.Len(t, resets, 1, "the other flow at this target is reset, too")
	require.Equal(t, other.address, resets[0].Client)
}

// A target with a full queue refuses connections as one that has ended does. Only an
// overload explains a full queue.
func TestRefusingTargetsFlowsAreResetUnlessOverloaded(t *testing.T) {
	for _, c := range []struct{ waiting, resets int }{{0, 1}, {100, 0}} {
		f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
		f.engine.view.Routes[feedAddress].LatencyObjective = relaxedObjective
		f.learnBaseline()
		client := f.establishAt(feedAddress, "t1")
		client.sendRequest()
		f.engine.targets.totalLoad.waiting += c.waiting
		r := f.engine.targets.byID[orderTarget(1, "a").ID]
		f.engine.targets.recordMiss(f.now, r, false)
		for _, check := range f.engine.DrainChecks() {
			f.engine.RecordCheck(f.now, check.Target, CheckRefused)
		}
		require.Len(t, f.engine.HandleDeadlines(f.now, nil), c.resets)
	}
}

// If the latency objective leaves time, a failed check alone resets nothing, overload or
// not: one host of 91 sees too little of an overload to detect it.
func TestFlowWithRelaxedObjectiveWaitsForRetransmission(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		resets    int
	}{{relaxedObjective - 1, 1}, {relaxedObjective, 0}} {
		f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
		f.engine.view.Routes[feedAddress].LatencyObjective = c.objective
		f.learnBaseline()
		client := f.establishAt(feedAddress, "t1")
		client.sendRequest()
		r := f.engine.targets.byID[orderTarget(1, "a").ID]
		f.engine.targets.recordMiss(f.now, r, false)
		f.now += 120 * time.Millisecond
		require.Equal(t, 1, f.runChecks(noneAlive))
		require.Len(t, f.engine.HandleDeadlines(f.now, nil), c.resets)
		f.now += 80 * time.Millisecond
		require.Equal(t, ActionReset, client.retransmit().Action, "a retransmission is evidence for both objectives")
	}
}

// In an overload targets drop packets: unanswered retransmissions are no evidence until
// the silence has lasted for silenceTimeout.
func TestInOverloadOnlyLongSilenceIsEvidence(t *testing.T) {
	f := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	f.learnBaseline()
	client := f.establishAt(feedAddress, "t1")
	client.sendRequest()
	f.engine.targets.totalLoad.waiting += 100
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		f.now += wait
		require.Equal(t, ActionForward, client.retransmit().Action)
		f.runChecks(noneAlive)
		require.Empty(t, f.engine.HandleDeadlines(f.now, nil))
	}
	f.now += 800 * time.Millisecond
	f.engine.HandleDeadlines(f.now, nil)
	f.runChecks(noneAlive)
	require.Equal(t, ActionReset, client.retransmit().Action)
}
