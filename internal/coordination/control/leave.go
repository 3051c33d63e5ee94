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
func (m *Machine) requestLeave(now time.Time) {
	if m.leave.inProgress() {
		return
	}
	m.leave = leaveProgress{stage: announced, stageStartedAt: now, deadline: now.Add(m.settings.LeaveDeadline)}
	m.addLog("leave_announced", "")
	m.addSends(m.membership.AnnounceLeaving(now))
	m.propagateView()
}

// advanceLeave enters the next stage of the leave if the current one has lasted long
// enough, or completes the leave if its deadline has passed.
func (m *Machine) advanceLeave(now time.Time) {
	if !m.leave.inProgress() || m.leave.stage == stopRequested {
		return
	}
	elapsed := now.Sub(m.leave.stageStartedAt)
	switch {
	case now.After(m.leave.deadline):
		m.completeLeave(now, "deadline passed")
	case m.leave.stage == announced && elapsed >= LeaveAnnounceTime:
		m.leave.stage = handingOver
		m.leave.stageStartedAt = now
		m.actions = append(m.actions, HandOverRecords{})
	case m.leave.stage == lingering && elapsed >= LeaveLingerTime:
		m.completeLeave(now, "records handed over")
	}
}

func (m *Machine) completeLeave(now time.Time, detail string) {
	m.leave.stage = stopRequested
	m.addSends(m.membership.AnnounceDeparture(now))
	m.addLog("leave_complete", detail)
	m.actions = append(m.actions, Stop{})
}
