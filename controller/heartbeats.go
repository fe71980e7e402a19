package controller

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// Reports of workers: how they are answered, and what the leader learns of attempts from them.

// report answers a worker. Only a leader with authority may do so with 200.
func (c *Core) report(r ReportRequest) {
	l := c.lead
	if !c.entitled() {
		c.redirectOrRelay(r)
		return
	}
	rep := r.Report
	if _, gone := l.released[rep.Machine]; gone || rep.Token > l.token {
		c.retryLater(r.Req, "machine released or token outdated")
		return
	}
	m := l.machine(rep.Machine)
	if m.up && !rep.Newer(m.session, m.seq) {
		c.retryLater(r.Req, "stale report") // a delayed copy: it says nothing about now
		return
	}
	switch {
	case !l.recovered: // the machine will be asked once the records are read
		if rep.Addr != "" && c.hints[m.id] == nil {
			c.hints[m.id] = &mesh.Hint{Machine: m.id, Addr: rep.Addr}
		}
	case !m.up && rep.Token < l.electedToken:
		// Made before our election: it may be a late copy, from a machine that is
		// gone. The machine itself has to answer, or to report with our token.
		l.probe(m.id, rep.Addr)
	default:
		l.apply(m, &rep)
	}
	if l.mustNotRenew(m, &rep) {
		c.retryLater(r.Req, "a cancelled task may still start")
		return
	}
	// The answer renews the lease: this is counted before the answer goes out.
	m.answered, m.leaseOut = c.now, false
	body := wire.ReportAnswer{Token: l.token}
	if m.up {
		body.Commands = l.commands(m)
	} else {
		body.Commands = l.cancelledTasks(&rep)
	}
	c.answer(r.Req, http.StatusOK, body)
}

// cancelledTasks lists the stops of a machine whose attempts are not known yet: a leader that
// can't read the task records renews leases all the same, and whatever the records say,
// no task of a cancelled job may go on.
func (l *leader) cancelledTasks(rep *wire.Report) []wire.Command {
	var cs []wire.Command
	for _, t := range rep.Tasks {
		id, _, _ := wire.SplitTask(t.ID)
		if l.c.withdrawn(id) && t.State != wire.TaskExited {
			cs = append(cs, wire.Command{Op: wire.OpStop, Task: t.ID, Attempt: t.Attempt})
		}
	}
	return cs
}

// mustNotRenew reports whether a machine's lease may not be renewed any more: the run of a
// task that was cancelled may still be on its way there, where no stop can forestall
// it, and the time that a cancellation has would be over before the lease. A raised
// token settles it, with the very answer that tells the worker of it, but can't be had
// while the state service is out. A task that the report lists is another matter: its
// stop goes with the renewal.
func (l *leader) mustNotRenew(m *machine, rep *wire.Report) bool {
	for _, a := range m.list {
		if a.job.cancelled && a.phase >= attemptSent && a.token >= l.token && !l.c.now.Before(a.job.cancelledAt.Add(l.c.cancellationWindow())) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.Task) bool { return t.ID == a.taskID() && t.Attempt == a.number }) {
			return true
		}
	}
	return false
}

// apply updates a machine by what its worker says of it.
func (l *leader) apply(m *machine, rep *wire.Report) {
	c := l.c
	if m.up && !rep.Newer(m.session, m.seq) {
		return
	}
	if !m.up {
		c.log(slog.LevelInfo, "machine up", "machine", m.id, "type", rep.Type, "zone", rep.Zone, "spot", rep.Spot, "after", c.now.Sub(m.since))
		m.idle = c.now // not idle while it booted
		// It may have begun a session after our election: its lease counts from now.
		m.answered = c.now
		l.wantPlacement()
	} else if rep.Session > m.session {
		c.log(slog.LevelInfo, "machine's lease ran out", "machine", m.id, "session", rep.Session)
		// The new session's lease began by now at the latest. Without this, what is
		// placed in it would be taken for lost when the old session's time is up.
		m.answered = c.now
	}
	m.up, m.addr, m.typ, m.zone, m.spot = true, rep.Addr, rep.Type, rep.Zone, rep.Spot
	m.unanswered, m.snapshot = false, nil
	m.session, m.seq, m.token, m.reported = rep.Session, rep.Seq, rep.Token, c.now
	if notice := rep.NoticeS != nil; notice != m.notice {
		m.notice = notice
		if notice {
			c.log(slog.LevelInfo, "machine will be taken", "machine", m.id)
			l.drain(m, *rep.NoticeS)
		}
	}
	listed := map[taskKey]bool{}
	clear(m.unknownAttempts)
	for _, t := range rep.Tasks {
		k := taskKey{t.ID, t.Attempt}
		listed[k] = true
		l.applyTask(m, k, t)
	}
	for k := range m.ended {
		if !listed[k] {
			delete(m.ended, k)
			delete(m.runToken, k)
		}
	}
	for _, a := range m.list {
		if !listed[a.key()] {
			l.attemptMissing(a)
		}
	}
	if len(m.attempts)+len(m.unknownAttempts) > 0 {
		m.idle = c.now
	}
}

// applyTask applies one line of a report.
func (l *leader) applyTask(m *machine, k taskKey, t wire.Task) {
	id, n, ok := wire.SplitTask(t.ID)
	a := m.attempts[k]
	if t.State != wire.TaskExited {
		if a != nil {
			l.attemptSeen(a, t.State)
		} else {
			m.unknownAttempts[k] = true
		}
		return
	}
	if _, seen := m.ended[k]; !seen {
		m.ended[k] = l.c.now
	}
	if a != nil {
		l.attemptEnded(a, t.Why)
		return
	}
	// A finish is a fact whichever attempt it came from.
	if j := l.jobs[id]; ok && j != nil && t.Why == wire.WhyDone && n < j.spec.Tasks && j.spec.Kind != wire.KindService {
		l.finish(j, n)
	}
}

// attemptSeen adopts an attempt that a report shows on its machine.
func (l *leader) attemptSeen(a *attempt, state string) {
	a.advance(attemptSeen)
	a.saving = state == wire.TaskSaving
	a.job.state.Start(a.task)
	if state == wire.TaskRunning && a.phase < attemptRunning {
		a.advance(attemptRunning)
		a.since, a.job.begun = l.c.now, true
		a.machine.images[a.job.spec.Image] = true
		l.zones.startSeen(a)
		l.c.log(slog.LevelDebug, "task running", "job", a.job.id, "task", a.task, "attempt", a.number,
			"machine", a.machine.id, "after", l.c.now.Sub(a.placed))
	}
}

// attemptEnded handles the reported end of an attempt, which proves it gone.
func (l *leader) attemptEnded(a *attempt, why string) {
	j, m := a.job, a.machine
	switch {
	case why == wire.WhyDone && j.spec.Kind != wire.KindService:
		j.begun = true
		m.images[j.spec.Image] = true
		clear(m.faults)
		delete(j.fails, a.task)
		l.gone(a, reduction.Succeeded, proofReported(why))
		return
	case why == wire.WhyError:
		j.avoid[m.id] = true
		m.faults[j.id] = true
		if len(j.avoid) >= max(2, len(l.machines)/2) {
			clear(j.avoid) // it fails everywhere: any machine is as good
		}
	}
	if why != wire.WhyStopped {
		// A reset outcome: tried again, later each time. An accepted job is never given up.
		n := min(j.fails[a.task], 5)
		j.fails[a.task]++
		j.retryAt[a.task] = l.c.now.Add(500 * time.Millisecond << n)
		l.c.after(500*time.Millisecond<<n, l.wantPlacement)
	}
	l.gone(a, reduction.Reset, proofReported(why))
}

// attemptMissing handles an attempt that a report does not list. That proves it gone
// only when no copy of its run can still arrive: the worker is in a newer
// session, or has seen a token above all that the run was sent with.
func (l *leader) attemptMissing(a *attempt) {
	m := a.machine
	if m.session > a.session || m.token > a.token && a.phase >= attemptSent {
		l.gone(a, reduction.Reset, proofAbsent)
	} else if a.phase >= attemptSeen {
		// It was there, has not ended, and is not there in the same stint: the
		// machine has begun again. Nothing but a raised token can prove it gone.
		l.raiseToken("attempt has vanished")
	}
}
