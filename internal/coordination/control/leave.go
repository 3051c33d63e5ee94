package control

import "time"

// leaveStage is how far a graceful leave has come.
type leaveStage uint8

const (
	// notLeaving hosts have not been asked to leave.
	notLeaving leaveStage = iota
	// announced hosts own no new flows and tell the others so.
	announced
	// handingOver hosts hand their flow records over.
	handingOver
	// lingering hosts only relay late packets.
	lingering
	// stopRequested hosts have asked the edge to stop.
	stopRequested
)

// leaveProgress is the graceful leaveProgress of this host.
type leaveProgress struct {
	stage leaveStage
	stageStartedAt time.Time
	// deadline is when the host stops, however far it has come.
	deadline time.Time
}

func (l *leaveProgress) inProgress() bool { return l.stage != notLeaving }

// completeHandover moves on once the flow records are handed over.
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

// advanceLeave moves the leave on as time passes.
func (c *Machine) advanceLeave(now time.Time) {
	if !c.leave.inProgress() || c.leave.stage == stopRequested {
		return
	}
	waited := now.Sub(c.leave.stageStartedAt)
	switch {
	case now.After(c.leave.deadline):
		c.completeLeave(now, "deadline passed")
	case c.leave.stage == announced && waited >= LeaveAnnounceTime:
		c.leave.stage = handingOver
		c.leave.stageStartedAt = now
		c.actions = append(c.actions, HandOverRecords{})
	case c.leave.stage == lingering && waited >= LeaveLingerTime:
		c.completeLeave(now, "records passed on")
	}
}

func (c *Machine) completeLeave(now time.Time, detail string) {
	c.leave.stage = stopRequested
	c.addSends(c.membership.Depart(now))
	c.addLog("leave_complete", detail)
	c.actions = append(c.actions, Stop{})
}
