package control

import "time"

// leaveStage is a stage of the graceful leave, in order.
type leaveStage uint8

const (
	// notLeaving: no leave was requested.
	notLeaving leaveStage = iota
	// announced: this host owns no new flows and has announced that it is leaving.
	announced
	// handingOver: this host hands its flow records over to other hosts.
	handingOver
	// lingering: the handover is complete; this host only relays late packets.
	lingering
	// stopRequested: a Stop action was returned.
	stopRequested
)

// leaveProgress is the state of this host's graceful leave.
type leaveProgress struct {
	stage          leaveStage
	stageStartedAt time.Time
	// deadline is when the host stops, whatever stage it is in.
	deadline time.Time
}

func (l *leaveProgress) inProgress() bool { return l.stage != notLeaving }

// completeHandover enters the lingering stage once the flow records are handed over.
func (l *leaveProgress) completeHandover(now time.Time) {
	if l.stage == handingOver {
		l.stage = lingering
		l.stageStartedAt = now
	}
}

// requestLeave announces that this host is leaving; repeated requests are
// ignored.
func (c *Machine) requestLeave(now time.Time) {
	if c.leave.inProgress() {
		return
	}
	c.leave = leaveProgress{stage: announced, stageStartedAt: now, deadline: now.Add(c.settings.LeaveDeadline)}
	c.addLog("leave_announced", "")
	c.addSends(c.membership.Leave(now))
	c.propagateView()
}

// advanceLeave enters the next stage of the leave if the current one has lasted long
// enough, or completes the leave if its deadline has passed.
func (c *Machine) advanceLeave(now time.Time) {
	if !c.leave.inProgress() || c.leave.stage == stopRequested {
		return
	}
	elapsed := now.Sub(c.leave.stageStartedAt)
	switch {
	case now.After(c.leave.deadline):
		c.completeLeave(now, "deadline passed")
	case c.leave.stage == announced && elapsed >= LeaveAnnounceTime:
		c.leave.stage = handingOver
		c.leave.stageStartedAt = now
		c.actions = append(c.actions, HandOverRecords{})
	case c.leave.stage == lingering && elapsed >= LeaveLingerTime:
		c.completeLeave(now, "records handed over")
	}
}

func (c *Machine) completeLeave(now time.Time, detail string) {
	c.leave.stage = stopRequested
	c.addSends(c.membership.Depart(now))
	c.addLog("leave_complete", detail)
	c.actions = append(c.actions, Stop{})
}
