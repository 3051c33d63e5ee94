package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestEstablishedPacketFollowsCookieWithoutFlowState(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"), orderTarget(3, "c"))
	for number := 1; number <= 3; number++ {
		c := b.newClient(feedAddress)
		c.cookie = orderTarget(number, "a").ID.Cookie()
		verdict := c.sendRequest()
		require.Equal(t, ActionForward, verdict.Action)
		require.Equal(t, orderTarget(number, "a").ID, verdict.Target.ID)
	}
}

func TestCookieOfAnotherServiceIsDropped(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	c := b.newClient(feedAddress)
	c.cookie = newTarget(2, "a", proofPool).ID.Cookie()
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendRequest())
}

func TestUnknownCookieIsDroppedNotReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	c := b.newClient(feedAddress)
	c.cookie = 77
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendRequest())
}

// A client may still have a flow at a target that crashed before this host started. It
// is reset only once a later read of the targets shows that the target is gone.
func TestFlowOfUnknownTargetIsResetOnceTargetsWereReread(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true, "t2": true})
	b.publish()
	c := b.newClient(depositAddress)
	c.cookie = 77
	require.Equal(t, ReasonUnknownCookie, c.sendRequest().Reason)
	require.True(t, b.engine.DrainReadRequest())
	b.engine.SetTargetsReadAt(b.now + time.Millisecond)
	b.now += 200 * time.Millisecond
	require.Equal(t, ReasonTargetUnknown, c.sendRequest().Reason)
	require.Equal(t, ActionReset, c.sendRequest().Action)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action)
	c.cookie = newTarget(2, "a", proofPool).ID.Cookie()
	require.Equal(t, ActionDrop, c.sendRequest().Action, "a cookie of another pool's target proves nothing about the flow")
	b.directory.StoreAway(b.now + time.Second)
	b.publish()
	c.cookie = 77
	require.Equal(t, ActionDrop, c.sendRequest().Action, "the target's entry may have expired while the store was unreachable")
}

// A host that was paused must not reset the flows of a target that started meanwhile and
// that the other hosts know.
func TestFlowOfTargetNotYetReadIsNotReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	b.publish()
	b.engine.SetTargetsReadAt(b.now)
	b.now += 3 * time.Second
	c := b.newClient(feedAddress)
	c.cookie = orderTarget(2, "a").ID.Cookie()
	for range 5 {
		require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.sendUncounted())
		require.True(t, b.engine.DrainReadRequest(), "another read may return the target")
		b.now += 200 * time.Millisecond
	}
	b.directory.Put(orderTarget(2, "a"))
	b.publish()
	b.engine.SetTargetsReadAt(b.now)
	require.Equal(t, ActionForward, c.sendUncounted().Action)
}

func TestWithoutConfigurationEveryPacketIsDropped(t *testing.T) {
	b := newEmptyFixture(t)
	require.Equal(t, Verdict{Reason: ReasonNotReady}, b.newClient(feedAddress).sendSYN())
	b.publish()
	require.Equal(t, Verdict{Reason: ReasonNotReady}, b.newClient(feedAddress).sendSYN())
}

func TestAddressWithoutRouteIsReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	c := b.newClient(unroutedAddress)
	verdict := c.sendSYN()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoRoute, verdict.Reason)
	require.Equal(t, c.address, verdict.Client)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action, "a RST is never answered by a RST")
}

// Another host may have opened the flow under a newer configuration.
func TestOpenFlowOfUnknownRouteIsNotReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonNoRoute}, b.newClient(unroutedAddress).sendRequest())
}

func TestFlowIsResetWhenRouteIsRemovedButNotWhenPoolsChange(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), newTarget(2, "a", proofPool))
	feed, proof := b.establishAt(feedAddress, "t1"), b.establishAt(proofAddress, "t2")
	b.directory.SetConfig(catalog.Config{Version: 2, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}, Idempotent: true},
	}})
	b.publish()
	verdict := feed.sendRequest()
	require.Equal(t, ActionForward, verdict.Action)
	require.Equal(t, "t1", verdict.Target.Name, "only new flows go to the route's new pool")
	verdict = proof.sendRequest()
	require.Equal(t, ReasonNoRoute, verdict.Reason)
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, proof.ack, verdict.Seq, "the sequence number of a reset must be near the client's last acknowledgement")
	require.Equal(t, "t2", b.newClient(feedAddress).sendSYN().Target.Name)
}

func TestDrainingTargetKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	leaving := orderTarget(1, "a")
	leaving.Draining = true
	b.directory.Put(leaving)
	b.publish()
	for range 50 {
		require.Equal(t, "t2", b.newClient(feedAddress).sendSYN().Target.Name)
	}
	require.Equal(t, "t1", c.sendRequest().Target.Name)
	b.directory.Remove(b.now, "t1")
	b.publish()
	require.Equal(t, "t1", c.ackAnswer().Target.Name, "the flow continues after the target's entry was removed")
}

func TestUnansweredSYNIsRetriedAtAnotherTarget(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.newClient(feedAddress)
	first := c.sendSYN()
	require.Empty(t, b.advance(initialTimeoutLocal-time.Millisecond))
	verdicts := b.advance(time.Millisecond)
	require.Len(t, verdicts, 1)
	require.Equal(t, ReasonRetried, verdicts[0].Reason)
	require.True(t, verdicts[0].SYN)
	require.Equal(t, []byte("syn"), verdicts[0].Raw)
	require.NotEqual(t, first.Target.ID, verdicts[0].Target.ID)
	b.now += 4 * time.Millisecond
	require.Equal(t, initialTimeoutLocal+4*time.Millisecond, c.confirmOpen(verdicts[0].Target).HandshakeTime)
	require.Zero(t, c.sendRequest().HandshakeTime)
	require.Empty(t, b.advance(time.Second), "the SYN of an open flow is not retried")
}

// A second target's answer would give the client another cookie for an open flow.
func TestLateSYNRetransmissionOfOpenFlowIsDropped(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.newClient(feedAddress)
	verdict := c.sendSYN()
	b.now += 201 * time.Millisecond
	c.confirmOpen(verdict.Target)
	late := Packet{SYN: true, Seq: c.seq - 1, Ack: 1, Raw: []byte("syn")}
	require.Equal(t, Verdict{Reason: ReasonAlreadyOpen}, c.send(late))
	require.Equal(t, verdict.Target.ID, c.sendRequest().Target.ID)
	late.Seq = 777
	require.Equal(t, ReasonPlaced, c.send(late).Reason, "another sequence number means that the client reused its port")
}

// Opens flows one after the other while one of three targets is unreachable.
func TestSYNIsServedWithin100msWhileATargetIsUnreachable(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "b"))
	dark := orderTarget(1, "a").ID
	for range 40 {
		c := b.newClient(depositAddress)
		began := b.now
		verdict := c.sendSYN()
		for verdict.Target.ID == dark {
			verdicts := b.advance(time.Millisecond)
			if len(verdicts) > 0 {
				verdict = verdicts[0]
			}
		}
		b.now += 4 * time.Millisecond
		c.confirmOpen(verdict.Target)
		require.LessOrEqual(t, b.now-began, 100*time.Millisecond)
		b.runChecks(func(id catalog.TargetID) bool { return id != dark })
	}
}

func TestDownTargetGetsNoNewFlowsUntilCheckPasses(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.newClient(feedAddress)
	first := c.sendSYN().Target
	c.confirmOpen(b.advance(initialTimeoutLocal)[0].Target)
	require.Equal(t, 1, b.runChecks(noneAlive))
	require.Equal(t, []HealthChange{{Target: first.Name, Domain: "a", Down: true, Missed: 1, Silence: b.now - time.Second}}, b.engine.DrainHealthChanges())
	for range 50 {
		require.NotEqual(t, first.ID, b.newClient(feedAddress).establish().ID)
	}
	b.advance(checkInterval)
	checks := b.engine.DrainChecks()
	require.Len(t, checks, 1)
	require.Equal(t, first.Name, checks[0].ExpectedName, "the address may belong to another target by now")
	b.engine.RecordCheck(b.now, checks[0].Target, CheckPassed)
	b.establishAt(feedAddress, first.Name)
}

func TestSYNIsForwardedThoughAllTargetsAreDown(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	c := b.newClient(feedAddress)
	c.sendSYN()
	b.advance(initialTimeoutLocal)
	b.runChecks(noneAlive)
	require.Equal(t, ActionForward, b.newClient(feedAddress).sendSYN().Action)
}

// All targets may drain at once when a release replaces them all.
func TestOpenFlowsContinueWhileAllTargetsDrain(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	c := b.establishAt(feedAddress, "t1")
	leaving := orderTarget(1, "a")
	leaving.Draining = true
	b.directory.Put(leaving)
	b.publish()
	require.False(t, b.engine.view.Ready())
	require.Equal(t, ActionForward, c.sendRequest().Action)
	require.Equal(t, ReasonNoTarget, b.newClient(feedAddress).sendSYN().Reason)
}

func TestSYNToEmptyPoolIsReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonNoTarget}, b.newClient(proofAddress).sendSYN(), "entries may have expired")
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	b.publish()
	verdict := b.newClient(proofAddress).sendSYN()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoTarget, verdict.Reason)
}

func TestFlowsOfDownTargetAreReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	waiting, idle := b.establishAt(feedAddress, "t1"), b.establishAt(feedAddress, "t1")
	unsafe, other := b.establishAt(depositAddress, "t1"), b.establishAt(feedAddress, "t2")
	unsafeIdle := b.establishAt(depositAddress, "t1")
	waiting.sendRequest()
	unsafe.sendRequest()
	other.sendRequest()
	b.now += 200 * time.Millisecond
	require.Equal(t, ActionForward, waiting.retransmit().Action, "one retransmission without a failed check is no evidence")
	require.Equal(t, 1, b.runChecks(noneAlive))

	resets := b.advance(0)
	require.Len(t, resets, 1, "flows at the other target and flows that are not idempotent are not reset")
	require.Equal(t, waiting.address, resets[0].Client)
	require.Equal(t, waiting.ack, resets[0].Seq)
	require.Equal(t, ActionReset, idle.sendRequest().Action, "a new request is not forwarded")
	require.Equal(t, ActionReset, unsafeIdle.sendRequest().Action, "a new request that is not idempotent is not forwarded either")
	require.Equal(t, ActionForward, unsafe.retransmit().Action, "a request that is not idempotent and may have been executed is never reset")
	require.Equal(t, ActionForward, other.ackAnswer().Action)
}

func TestNoFlowIsResetWhileChecksPass(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.sendRequest()
	for range 8 {
		b.now += 700 * time.Millisecond
		require.Equal(t, ActionForward, c.retransmit().Action)
		b.runChecks(allAlive)
		require.Empty(t, b.advance(0))
	}
}

func TestExpiredEvidenceResetsNothing(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.sendRequest()
	b.now += 200 * time.Millisecond
	c.retransmit()
	b.runChecks(noneAlive)
	b.now += maxEvidenceAge + time.Millisecond
	other := b.newClient(feedAddress)
	other.cookie = orderTarget(1, "a").ID.Cookie()
	require.Equal(t, ActionForward, other.sendRequest().Action, "the failed check is too old")
}

// When the first packet of an answer came late, the client repeated its last
// acknowledgement 150 ms after its request. Taken for a retransmission, this reset flows
// of running targets.
func TestDuplicateAckWhileWaitingCountsAsAnswer(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.sendRequest()
	b.now += 150 * time.Millisecond
	c.sendAck()
	require.Zero(t, b.runChecks(noneAlive))
	require.Zero(t, b.engine.targets.byID[orderTarget(1, "a").ID].waiting)
}

// Two crashed targets must not be taken for a failure of their whole failure domain:
// flows at a third target there were reset.
func TestTwoDownTargetsDoNotMarkTheirDomainDown(t *testing.T) {
	b := newFixture(t, orderTarget(1, "b"), orderTarget(2, "b"), orderTarget(3, "b"))
	third := b.establishAt(feedAddress, "t3")
	for _, name := range []string{"t1", "t2"} {
		c := b.establishAt(feedAddress, name)
		c.sendRequest()
		b.now += 200 * time.Millisecond
		c.retransmit()
	}
	b.runChecks(func(id catalog.TargetID) bool { return id == orderTarget(3, "b").ID })
	third.sendRequest()
	b.now += 300 * time.Millisecond
	require.Equal(t, ActionForward, third.retransmit().Action)
	require.Equal(t, ActionForward, third.sendRequest().Action)
}

// A network partition between failure domains hides all targets of the other side at
// once.
func TestDownRemoteTargetTriggersChecksOfItsDomain(t *testing.T) {
	b := newFixture(t, orderTarget(1, "b"), orderTarget(2, "b"), orderTarget(3, "b"))
	first := b.establishAt(feedAddress, "t1")
	second := b.establishAt(feedAddress, "t2")
	b.establishAt(feedAddress, "t3")
	first.sendRequest()
	second.sendRequest()
	b.now += 200 * time.Millisecond
	first.retransmit()
	require.Equal(t, 1, b.runChecks(noneAlive))
	require.Equal(t, 2, b.runChecks(noneAlive), "the other targets with flows in the domain")
	require.Len(t, b.advance(0), 2, "one retransmission at one target resets the flows of both")
}

func TestFlowsOfRestartedTargetAreReset(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.sendRequest()
	again := orderTarget(1, "a")
	again.Born = 2
	b.directory.Put(again)
	b.publish()
	resets := b.advance(0)
	require.Len(t, resets, 1)
	require.Equal(t, ReasonTargetRestarted, resets[0].Reason)
}

func TestExpiredFlowsLeaveNoLoadCounts(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "b"))
	for range 50 {
		b.establishAt(feedAddress, "t1").sendRequest()
		b.newClient(depositAddress).sendSYN()
	}
	b.advance(clientConnectTimeout)
	b.advance(time.Minute)
	b.advance(time.Minute)
	require.Zero(t, b.engine.FlowCount())
	require.Empty(t, b.engine.pending)
	for _, r := range b.engine.targets.byID {
		require.Zero(t, r.pendingSYNs+r.waiting+r.openFlows, r.name)
	}
}

// The host's own link may delay packets; a target that answered recently shows whether it
// does.
func TestCheckWitnessesAreTheLatestToAnswer(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"), orderTarget(3, "a"), orderTarget(4, "b"), orderTarget(5, "b"))
	for _, name := range []string{"t2", "t3", "t4", "t5"} {
		b.now += 10 * time.Millisecond
		b.establishAt(feedAddress, name)
	}
	r := b.engine.targets.byID[orderTarget(1, "a").ID]
	b.engine.targets.byID[orderTarget(5, "b").ID].down = true
	witnesses := b.engine.targets.witnesses(r)
	require.Equal(t, []netip.AddrPort{orderTarget(3, "a").Address, orderTarget(4, "b").Address}, witnesses)
}

// The host's link is full: no connection succeeds in time, though answers to earlier
// packets still arrive. However often a target is checked, no flow is reset and no target
// marked down. Once no target answers any more, the host counts as isolated.
func TestTimeoutOfAllProvesNothingUntilHostIsIsolated(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	other := b.establishAt(feedAddress, "t2")
	c.sendRequest()
	other.sendRequest()
	b.now += 200 * time.Millisecond
	c.retransmit()
	for range 10 {
		checks := b.engine.DrainChecks()
		require.Len(t, checks, 1, "the check is repeated at once")
		other.ackAnswer()
		other.sendRequest()
		b.now += 120 * time.Millisecond
		b.engine.RecordCheck(b.now, checks[0].Target, CheckAllTimedOut)
		require.Empty(t, b.engine.DrainHealthChanges())
		require.Empty(t, b.engine.HandleDeadlines(b.now, nil))
	}
	quiet := b.now
	for len(b.engine.targets.healthChanges) == 0 {
		checks := b.engine.DrainChecks()
		require.Len(t, checks, 1)
		b.now += 120 * time.Millisecond
		b.engine.RecordCheck(b.now, checks[0].Target, CheckAllTimedOut)
	}
	require.GreaterOrEqual(t, b.now-quiet, isolatedAfter-120*time.Millisecond)
	require.Less(t, b.now-quiet, isolatedAfter+120*time.Millisecond)
	beliefs := b.engine.DrainHealthChanges()
	require.Len(t, beliefs, 1)
	require.True(t, beliefs[0].Down)
}

// Under five times the usual traffic targets accepted no connection within a check but
// went on answering, and their open flows were reset. A request that reached the target
// is not retransmitted, so only a retransmission is evidence.
func TestBusyTargetThatAcceptsNoConnectionKeepsItsFlows(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	other := b.establishAt(feedAddress, "t1")
	c.sendRequest()
	other.sendRequest()
	b.now += 30 * time.Millisecond
	r := b.engine.targets.byID[orderTarget(1, "a").ID]
	b.engine.targets.recordMiss(b.now, r, false)
	b.now += 120 * time.Millisecond
	require.Equal(t, 1, b.runChecks(noneAlive))
	require.Empty(t, b.engine.HandleDeadlines(b.now, nil), "an unanswered SYN and a failed check reset nothing")
	require.Len(t, b.engine.DrainHealthChanges(), 1, "the target is marked down for new flows")
	b.now += 100 * time.Millisecond
	require.Equal(t, ActionReset, c.retransmit().Action, "a running target acknowledges data at once")
	resets := b.engine.HandleDeadlines(b.now, nil)
	require.Len(t, resets, 1, "the other flow at this target is reset, too")
	require.Equal(t, other.address, resets[0].Client)
}

// A target with a full queue refuses connections as one that has ended does. Only an
// overload explains a full queue.
func TestRefusingTargetsFlowsAreResetUnlessOverloaded(t *testing.T) {
	for _, c := range []struct{ waiting, resets int }{{0, 1}, {100, 0}} {
		b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
		b.engine.view.Routes[feedAddress].Objective = relaxedObjective
		for range minSamples {
			b.engine.targets.totalLoad.sample()
		}
		caller := b.establishAt(feedAddress, "t1")
		caller.sendRequest()
		b.engine.targets.totalLoad.waiting += c.waiting
		r := b.engine.targets.byID[orderTarget(1, "a").ID]
		b.engine.targets.recordMiss(b.now, r, false)
		for _, check := range b.engine.DrainChecks() {
			b.engine.RecordCheck(b.now, check.Target, CheckRefused)
		}
		require.Len(t, b.engine.HandleDeadlines(b.now, nil), c.resets)
	}
}

// If the latency objective leaves time, a failed check alone resets nothing, overload or
// not: one host of 91 sees too little of an overload to detect it.
func TestFlowWithRelaxedObjectiveWaitsForRetransmission(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		resets    int
	}{{relaxedObjective - 1, 1}, {relaxedObjective, 0}} {
		b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
		b.engine.view.Routes[feedAddress].Objective = c.objective
		for range minSamples {
			b.engine.targets.totalLoad.sample()
		}
		caller := b.establishAt(feedAddress, "t1")
		caller.sendRequest()
		r := b.engine.targets.byID[orderTarget(1, "a").ID]
		b.engine.targets.recordMiss(b.now, r, false)
		b.now += 120 * time.Millisecond
		require.Equal(t, 1, b.runChecks(noneAlive))
		require.Len(t, b.engine.HandleDeadlines(b.now, nil), c.resets)
		b.now += 80 * time.Millisecond
		require.Equal(t, ActionReset, caller.retransmit().Action, "a retransmission is evidence for both objectives")
	}
}

// In an overload targets drop packets: unanswered retransmissions are no evidence until
// the silence has lasted for silenceTimeout.
func TestInOverloadOnlyLongSilenceIsEvidence(t *testing.T) {
	b := newFixture(t, orderTarget(1, "a"), orderTarget(2, "a"))
	for range minSamples {
		b.engine.targets.totalLoad.sample()
	}
	caller := b.establishAt(feedAddress, "t1")
	caller.sendRequest()
	b.engine.targets.totalLoad.waiting += 100
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		b.now += wait
		require.Equal(t, ActionForward, caller.retransmit().Action)
		b.runChecks(noneAlive)
		require.Empty(t, b.engine.HandleDeadlines(b.now, nil))
	}
	b.now += 800 * time.Millisecond
	b.engine.HandleDeadlines(b.now, nil)
	b.runChecks(noneAlive)
	require.Equal(t, ActionReset, caller.retransmit().Action)
}
