package control

import "time"

// leaveStage is how far a graceful leave has come.
type leaveStage uint8

const (
	// staying hosts have not been asked to leave.
	staying leaveStage = iota
	// announced hosts own no new flows and tell the others so.
	announced
	// passingOn hosts hand their flow records over.
	passingOn
	// lingering hosts only relay late packets.
	lingering
	// gone hosts have asked the edge to stop.
	gone
)

// leave is the graceful leave of this host.
type leave struct {
	stage leaveStage
	since time.Time
	// deadline is when the host stops, however far it has come.
	deadline time.Time
}

func (l *leave) begun() bool { return l.stage != staying }

// passedOn moves on once the flow records are handed over.
func (l *leave) passedOn(now time.Time) {
	if l.stage == passingOn {
		l.stage = lingering
		l.since = now
	}
}

// requestLeave announces that this host is leaving; repeated requests are
// ignored.
func (c *Machine) requestLeave(now time.Time) {
	if c.leave.begun() {
		return
	}
	c.leave = leave{stage: announced, since: now, deadline: now.Add(c.settings.LeaveDeadline)}
	c.log("leave_announced", "")
	c.send(c.members.Leave(now))
	c.shareView()
}

// stepLeave moves the leave on as time passes.
func (c *Machine) stepLeave(now time.Time) {
	if !c.leave.begun() || c.leave.stage == gone {
		return
	}
	waited := now.Sub(c.leave.since)
	switch {
	case now.After(c.leave.deadline):
		c.stop(now, "deadline passed")
	case c.leave.stage == announced && waited >= LeaveAnnounceTime:
		c.leave.stage = passingOn
		c.leave.since = now
		c.actions = append(c.actions, HandOverRecords{})
	case c.leave.stage == lingering && waited >= LeaveLingerTime:
		c.stop(now, "records passed on")
	}
}

func (c *Machine) stop(now time.Time, detail string) {
	c.leave.stage = gone
	c.send(c.members.Depart(now))
	c.log("leave_complete", detail)
	c.actions = append(c.actions, Stop{})
}
