package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/catalog"
)

func TestAnEstablishedPacketFollowsItsCookieOnAHostWithoutMemory(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "b"), order(3, "c"))
	for number := 1; number <= 3; number++ {
		c := b.caller(feedAddress)
		c.cookie = order(number, "a").ID.Cookie()
		verdict := c.request()
		require.Equal(t, ActionForward, verdict.Action)
		require.Equal(t, order(number, "a").ID, verdict.Target.ID)
	}
}

func TestACookieOfAnotherServiceIsDropped(t *testing.T) {
	b := newBed(t, order(1, "a"), target(2, "a", proofPool))
	c := b.caller(feedAddress)
	c.cookie = target(2, "a", proofPool).ID.Cookie()
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.request())
}

func TestAnUnknownCookieIsDroppedAndNotReset(t *testing.T) {
	b := newBed(t, order(1, "a"))
	c := b.caller(feedAddress)
	c.cookie = 77
	require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.request())
}

// A client still had a flow at a target that had crashed before this host started.
func TestAFlowOfATargetThatIsCertainlyGoneIsReset(t *testing.T) {
	b := newBed(t, order(1, "a"), target(2, "a", proofPool))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true, "t2": true})
	b.publish()
	c := b.caller(depositAddress)
	c.cookie = 77
	require.Equal(t, ReasonUnknownCookie, c.request().Reason)
	require.True(t, b.engine.DrainReadRequest())
	b.engine.SetTargetsReadAt(b.now + time.Millisecond)
	b.now += 200 * time.Millisecond
	require.Equal(t, ReasonTargetUnknown, c.request().Reason)
	require.Equal(t, ActionReset, c.request().Action)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action)
	c.cookie = target(2, "a", proofPool).ID.Cookie()
	require.Equal(t, ActionDrop, c.request().Action, "another pool's target: nothing is known of the flow")
	b.directory.StoreAway(b.now + time.Second)
	b.publish()
	c.cookie = 77
	require.Equal(t, ActionDrop, c.request().Action, "its entry may have lapsed")
}

// Soak seed 27: a host that had been paused reset the flows of a target that had
// started meanwhile and that the other hosts knew.
func TestAFlowOfATargetNotYetReadIsLeftAlone(t *testing.T) {
	b := newBed(t, order(1, "a"))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	b.publish()
	b.engine.SetTargetsReadAt(b.now)
	b.now += 3 * time.Second
	c := b.caller(feedAddress)
	c.cookie = order(2, "a").ID.Cookie()
	for range 5 {
		require.Equal(t, Verdict{Reason: ReasonUnknownCookie}, c.repeat())
		require.True(t, b.engine.DrainReadRequest(), "its target may be known by now")
		b.now += 200 * time.Millisecond
	}
	b.directory.Put(order(2, "a"))
	b.publish()
	b.engine.SetTargetsReadAt(b.now)
	require.Equal(t, ActionForward, c.repeat().Action)
}

func TestWithoutAConfigurationEverythingIsDropped(t *testing.T) {
	b := emptyBed(t)
	require.Equal(t, Verdict{Reason: ReasonNotReady}, b.caller(feedAddress).open())
	b.publish()
	require.Equal(t, Verdict{Reason: ReasonNotReady}, b.caller(feedAddress).open())
}

func TestAnAddressWithoutARouteIsRefusedAtOnce(t *testing.T) {
	b := newBed(t, order(1, "a"))
	c := b.caller(noAddress)
	verdict := c.open()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoRoute, verdict.Reason)
	require.Equal(t, c.client, verdict.Client)
	require.Equal(t, ActionDrop, c.send(Packet{RST: true}).Action, "a reset is never answered by a reset")
}

// Another host may have a newer configuration, and have opened the flow by it.
func TestAnOpenFlowOfARouteNotYetKnownIsLeftAlone(t *testing.T) {
	b := newBed(t, order(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonNoRoute}, b.caller(noAddress).request())
}

func TestAFlowEndsWithItsRouteAndSurvivesOtherChanges(t *testing.T) {
	b := newBed(t, order(1, "a"), target(2, "a", proofPool))
	feed, proof := b.establishAt(feedAddress, "t1"), b.establishAt(proofAddress, "t2")
	b.directory.SetConfig(catalog.Config{Version: 2, Routes: []catalog.Route{
		{Name: "feed", Address: feedAddress, Pools: []catalog.PoolWeight{{Pool: proofPool, Weight: 1}}, Idempotent: true},
	}})
	b.publish()
	verdict := feed.request()
	require.Equal(t, ActionForward, verdict.Action)
	require.Equal(t, "t1", verdict.Target.Name, "the route's new pool takes new flows only")
	verdict = proof.request()
	require.Equal(t, ReasonNoRoute, verdict.Reason)
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, proof.ack, verdict.Seq, "a reset has to lie near the client's last acknowledgement")
	require.Equal(t, "t2", b.caller(feedAddress).open().Target.Name)
}

func TestALeavingTargetKeepsItsFlowsAndGetsNoNewOne(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	leaving := order(1, "a")
	leaving.Draining = true
	b.directory.Put(leaving)
	b.publish()
	for range 50 {
		require.Equal(t, "t2", b.caller(feedAddress).open().Target.Name)
	}
	require.Equal(t, "t1", c.request().Target.Name)
	b.directory.Remove(b.now, "t1")
	b.publish()
	require.Equal(t, "t1", c.answered().Target.Name, "its entry is gone, the flow may live on")
}

func TestAnOpeningWithoutAnswerIsOfferedToAnotherTarget(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.caller(feedAddress)
	first := c.open()
	require.Empty(t, b.due(initialTimeoutLocal-time.Millisecond))
	verdicts := b.due(time.Millisecond)
	require.Len(t, verdicts, 1)
	require.Equal(t, ReasonRetried, verdicts[0].Reason)
	require.True(t, verdicts[0].SYN)
	require.Equal(t, []byte("opening"), verdicts[0].Raw)
	require.NotEqual(t, first.Target.ID, verdicts[0].Target.ID)
	b.now += 4 * time.Millisecond
	require.Equal(t, initialTimeoutLocal+4*time.Millisecond, c.opened(verdicts[0].Target).HandshakeTime)
	require.Zero(t, c.request().HandshakeTime)
	require.Empty(t, b.due(time.Second), "an open flow is not offered again")
}

// A second target's answer would give the client another cookie for an open flow.
func TestALateCopyOfAnOpeningIsNotOfferedToAnotherTarget(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.caller(feedAddress)
	verdict := c.open()
	b.now += 201 * time.Millisecond
	c.opened(verdict.Target)
	late := Packet{SYN: true, Seq: c.seq - 1, Ack: 1, Raw: []byte("opening")}
	require.Equal(t, Verdict{Reason: ReasonAlreadyOpen}, c.send(late))
	require.Equal(t, verdict.Target.ID, c.request().Target.ID)
	late.Seq = 777
	require.Equal(t, ReasonPlaced, c.send(late).Reason, "the client uses its port again")
}

// The load: openings one after the other while one of three targets is dark.
func TestAnOpeningIsServedWithin100msOfATargetGoingDark(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"), order(3, "b"))
	dark := order(1, "a").ID
	for range 40 {
		c := b.caller(depositAddress)
		began := b.now
		verdict := c.open()
		for verdict.Target.ID == dark {
			verdicts := b.due(time.Millisecond)
			if len(verdicts) > 0 {
				verdict = verdicts[0]
			}
		}
		b.now += 4 * time.Millisecond
		c.opened(verdict.Target)
		require.LessOrEqual(t, b.now-began, 100*time.Millisecond)
		b.check(func(id catalog.TargetID) bool { return id != dark })
	}
}

func TestATargetThatFailedItsCheckGetsNoNewFlowUntilItAnswers(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.caller(feedAddress)
	first := c.open().Target
	c.opened(b.due(initialTimeoutLocal)[0].Target)
	require.Equal(t, 1, b.check(nobody))
	require.Equal(t, []HealthChange{{Target: first.Name, Domain: "a", Down: true, Missed: 1, Silence: b.now - time.Second}}, b.engine.DrainHealthChanges())
	for range 50 {
		require.NotEqual(t, first.ID, b.caller(feedAddress).establish().ID)
	}
	b.due(checkInterval)
	checks := b.engine.DrainChecks()
	require.Len(t, checks, 1)
	require.Equal(t, first.Name, checks[0].ExpectedName, "its address may be another's by now")
	b.engine.RecordCheck(b.now, checks[0].Target, CheckPassed)
	b.establishAt(feedAddress, first.Name)
}

func TestWorkIsOfferedEvenIfEveryTargetSeemsDead(t *testing.T) {
	b := newBed(t, order(1, "a"))
	c := b.caller(feedAddress)
	c.open()
	b.due(initialTimeoutLocal)
	b.check(nobody)
	require.Equal(t, ActionForward, b.caller(feedAddress).open().Action)
}

// All targets may leave at once, in a release of everything.
func TestOpenFlowsGoOnWhileNoTargetTakesNewOnes(t *testing.T) {
	b := newBed(t, order(1, "a"))
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	c := b.establishAt(feedAddress, "t1")
	leaving := order(1, "a")
	leaving.Draining = true
	b.directory.Put(leaving)
	b.publish()
	require.False(t, b.engine.view.Ready())
	require.Equal(t, ActionForward, c.request().Action)
	require.Equal(t, ReasonNoTarget, b.caller(feedAddress).open().Reason)
}

func TestAPoolWithoutTargetsIsRefusedAtOnce(t *testing.T) {
	b := newBed(t, order(1, "a"))
	require.Equal(t, Verdict{Reason: ReasonNoTarget}, b.caller(proofAddress).open(), "entries may have lapsed")
	b.directory.RemoveAllBut(b.now, map[string]bool{"t1": true})
	b.publish()
	verdict := b.caller(proofAddress).open()
	require.Equal(t, ActionReset, verdict.Action)
	require.Equal(t, ReasonNoTarget, verdict.Reason)
}

func TestRequestsAtATargetThatIsGoneAreTriedAgainAtOnce(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	waiting, idle := b.establishAt(feedAddress, "t1"), b.establishAt(feedAddress, "t1")
	unsafe, other := b.establishAt(depositAddress, "t1"), b.establishAt(feedAddress, "t2")
	unsafeIdle := b.establishAt(depositAddress, "t1")
	waiting.request()
	unsafe.request()
	other.request()
	b.now += 200 * time.Millisecond
	require.Equal(t, ActionForward, waiting.again().Action, "one repeat is a hint, no proof")
	require.Equal(t, 1, b.check(nobody))

	resets := b.due(0)
	require.Len(t, resets, 1, "the flows at the other target and those not idempotent stay")
	require.Equal(t, waiting.client, resets[0].Client)
	require.Equal(t, waiting.ack, resets[0].Seq)
	require.Equal(t, ActionReset, idle.request().Action, "a new request is not even sent")
	require.Equal(t, ActionReset, unsafeIdle.request().Action, "nor is one that must run once at most")
	require.Equal(t, ActionForward, unsafe.again().Action, "one that may have run is never reset")
	require.Equal(t, ActionForward, other.answered().Action)
}

func TestNoFlowIsResetWhileItsTargetTakesConnections(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.request()
	for range 8 {
		b.now += 700 * time.Millisecond
		require.Equal(t, ActionForward, c.again().Action)
		b.check(everybody)
		require.Empty(t, b.due(0))
	}
}

func TestOldEvidenceResetsNothing(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.request()
	b.now += 200 * time.Millisecond
	c.again()
	b.check(nobody)
	b.now += maxEvidenceAge + time.Millisecond
	other := b.caller(feedAddress)
	other.cookie = order(1, "a").ID.Cookie()
	require.Equal(t, ActionForward, other.request().Action, "the check is too old")
}

// On huaman-retratos quiet-1 flows of living targets were reset: an answer whose
// first packet came late made the client acknowledge again what it had, 150 ms
// after its request.
func TestAnAcknowledgementRepeatedAtTheStartOfAnAnswerIsAnAnswer(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.request()
	b.now += 150 * time.Millisecond
	c.acknowledge()
	require.Zero(t, b.check(nobody))
	require.Zero(t, b.engine.targets.byID[order(1, "a").ID].waiting)
}

// On huaman-retratos trouble-3 two crashed targets spoke for their whole failure
// domain, and flows at a third one were reset.
func TestTwoDeadTargetsDoNotSpeakForTheirDomain(t *testing.T) {
	b := newBed(t, order(1, "b"), order(2, "b"), order(3, "b"))
	third := b.establishAt(feedAddress, "t3")
	for _, name := range []string{"t1", "t2"} {
		c := b.establishAt(feedAddress, name)
		c.request()
		b.now += 200 * time.Millisecond
		c.again()
	}
	b.check(func(id catalog.TargetID) bool { return id == order(3, "b").ID })
	third.request()
	b.now += 300 * time.Millisecond
	require.Equal(t, ActionForward, third.again().Action)
	require.Equal(t, ActionForward, third.request().Action)
}

// A cut between failure domains hides all targets of the other side at once.
func TestADeadTargetBeyondTheDomainHasItsNeighboursChecked(t *testing.T) {
	b := newBed(t, order(1, "b"), order(2, "b"), order(3, "b"))
	first := b.establishAt(feedAddress, "t1")
	second := b.establishAt(feedAddress, "t2")
	b.establishAt(feedAddress, "t3")
	first.request()
	second.request()
	b.now += 200 * time.Millisecond
	first.again()
	require.Equal(t, 1, b.check(nobody))
	require.Equal(t, 2, b.check(nobody), "the neighbours with flows")
	require.Len(t, b.due(0), 2, "both requests are tried again after one repeat of one of them")
}

func TestARestartedTargetHoldsNoFlowOfBefore(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	c.request()
	again := order(1, "a")
	again.Born = 2
	b.directory.Put(again)
	b.publish()
	resets := b.due(0)
	require.Len(t, resets, 1)
	require.Equal(t, ReasonTargetRestarted, resets[0].Reason)
}

func TestForgottenFlowsLeaveNoLoadBehind(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "b"))
	for range 50 {
		b.establishAt(feedAddress, "t1").request()
		b.caller(depositAddress).open()
	}
	b.due(clientConnectTimeout)
	b.due(time.Minute)
	b.due(time.Minute)
	require.Zero(t, b.engine.FlowCount())
	require.Empty(t, b.engine.pending)
	for _, r := range b.engine.targets.byID {
		require.Zero(t, r.pendingSYNs+r.waiting+r.openFlows, r.name)
	}
}

// The host's own link may hold packets up; a target that answered lately shows that
// it does not.
func TestACheckNamesWitnessesThatAnsweredLast(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"), order(3, "a"), order(4, "b"), order(5, "b"))
	for _, name := range []string{"t2", "t3", "t4", "t5"} {
		b.now += 10 * time.Millisecond
		b.establishAt(feedAddress, name)
	}
	r := b.engine.targets.byID[order(1, "a").ID]
	b.engine.targets.byID[order(5, "b").ID].down = true
	witnesses := b.engine.targets.witnesses(r)
	require.Equal(t, []netip.AddrPort{order(3, "a").Address, order(4, "b").Address}, witnesses)
}

// The host's link is full: nobody connects in time, though answers to what was sent
// before still show. No flow is reset and no target believed dead, however often it is
// checked; once nothing is answered any more, the host is cut off.
func TestSilenceOfAllProvesNothingWhileAnswersAreSeen(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	other := b.establishAt(feedAddress, "t2")
	c.request()
	other.request()
	b.now += 200 * time.Millisecond
	c.again()
	for range 10 {
		checks := b.engine.DrainChecks()
		require.Len(t, checks, 1, "checked again at once")
		other.answered()
		other.request()
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

// Under five times the usual traffic targets took no connection within a check, though
// they went on answering; their open flows were reset (huaman-retratos, a day of our
// own, FLOW). A request that the target has taken is not repeated, so it is no sign.
func TestABusyTargetThatTakesNoConnectionKeepsItsFlows(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	c := b.establishAt(feedAddress, "t1")
	other := b.establishAt(feedAddress, "t1")
	c.request()
	other.request()
	b.now += 30 * time.Millisecond
	r := b.engine.targets.byID[order(1, "a").ID]
	b.engine.targets.recordMiss(b.now, r, false)
	b.now += 120 * time.Millisecond
	require.Equal(t, 1, b.check(nobody))
	require.Empty(t, b.engine.HandleDeadlines(b.now, nil), "an opening that was not taken, and no connection")
	require.Len(t, b.engine.DrainHealthChanges(), 1, "new flows go elsewhere")
	b.now += 100 * time.Millisecond
	require.Equal(t, ActionReset, c.again().Action, "data is acknowledged at once by a target that lives")
	resets := b.engine.HandleDeadlines(b.now, nil)
	require.Len(t, resets, 1, "the other request at this target")
	require.Equal(t, other.client, resets[0].Client)
}

// A target that is full refuses a connection as one that ended does; that it is full
// takes an overload.
func TestARefusingTargetsFlowsAreResetAtOnceUnlessInAnOverload(t *testing.T) {
	for _, c := range []struct{ waiting, resets int }{{0, 1}, {100, 0}} {
		b := newBed(t, order(1, "a"), order(2, "a"))
		b.engine.view.Routes[feedAddress].Objective = relaxedObjective
		for range minSamples {
			b.engine.targets.totalLoad.sample()
		}
		caller := b.establishAt(feedAddress, "t1")
		caller.request()
		b.engine.targets.totalLoad.waiting += c.waiting
		r := b.engine.targets.byID[order(1, "a").ID]
		b.engine.targets.recordMiss(b.now, r, false)
		for _, check := range b.engine.DrainChecks() {
			b.engine.RecordCheck(b.now, check.Target, CheckRefused)
		}
		require.Len(t, b.engine.HandleDeadlines(b.now, nil), c.resets)
	}
}

// Where the objective leaves time, silence alone resets nothing, overload or not: a
// host of 91 sees too little of an overload to tell.
func TestAFlowWithTimeWaitsForRepeatedData(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		resets    int
	}{{relaxedObjective - 1, 1}, {relaxedObjective, 0}} {
		b := newBed(t, order(1, "a"), order(2, "a"))
		b.engine.view.Routes[feedAddress].Objective = c.objective
		for range minSamples {
			b.engine.targets.totalLoad.sample()
		}
		caller := b.establishAt(feedAddress, "t1")
		caller.request()
		r := b.engine.targets.byID[order(1, "a").ID]
		b.engine.targets.recordMiss(b.now, r, false)
		b.now += 120 * time.Millisecond
		require.Equal(t, 1, b.check(nobody))
		require.Len(t, b.engine.HandleDeadlines(b.now, nil), c.resets)
		b.now += 80 * time.Millisecond
		require.Equal(t, ActionReset, caller.again().Action, "repeated data is proof for both")
	}
}

// In an overload a target drops packets: one repeat that goes unanswered is no proof, a
// second of them is.
func TestInAnOverloadOnlyLongSilenceCounts(t *testing.T) {
	b := newBed(t, order(1, "a"), order(2, "a"))
	for range minSamples {
		b.engine.targets.totalLoad.sample()
	}
	caller := b.establishAt(feedAddress, "t1")
	caller.request()
	b.engine.targets.totalLoad.waiting += 100
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		b.now += wait
		require.Equal(t, ActionForward, caller.again().Action)
		b.check(nobody)
		require.Empty(t, b.engine.HandleDeadlines(b.now, nil))
	}
	b.now += 800 * time.Millisecond
	b.engine.HandleDeadlines(b.now, nil)
	b.check(nobody)
	require.Equal(t, ActionReset, caller.again().Action)
}
