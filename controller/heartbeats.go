package controller

import (
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// Heartbeats of workers, each with the status of its machine: how they are answered, and what
// the leader learns of attempts from them.

// answerHeartbeat answers a worker's heartbeat. Only a leader with authority may do so with 200.
func (c *Core) answerHeartbeat(r ReportRequest) {
	l := c.lead
	if !c.entitled() {
		c.redirectOrRelay(r)
		return
	}
	hb := r.Report
	if _, gone := l.released[hb.Machine]; gone || hb.Token > l.token {
		c.retryLater(r.Req, "machine released or token outdated")
		return
	}
	m := l.machine(hb.Machine)
	if m.up && !hb.Newer(m.session, m.seq) {
		c.retryLater(r.Req, "stale report") // a delayed copy: it says nothing about now
		return
	}
	switch {
	case !l.recovered: // the machine will be asked once the records are read
		if hb.Addr != "" && c.hints[m.id] == nil {
			c.hints[m.id] = &mesh.Hint{Machine: m.id, Addr: hb.Addr}
		}
	case !m.up && hb.Token < l.electedToken:
		// Made before our election: it may be a late copy, from a machine that is
		// gone. The machine itself has to answer, or to report with our token.
		l.probe(m.id, hb.Addr)
	default:
		l.failures.applyHeartbeat(m, &hb)
	}
	if l.failures.mustNotRenew(m, &hb) {
		c.retryLater(r.Req, "a cancelled task may still start")
		return
	}
	// The answer renews the lease: this is counted before the answer goes out.
	m.answered, m.leaseOut = c.now, false
	body := wire.ReportAnswer{Token: l.token}
	if m.up {
		body.Commands = l.commands(m)
	} else {
		body.Commands = l.failures.cancelledTasks(&hb)
	}
	c.answer(r.Req, http.StatusOK, body)
}

// cancelledTasks lists the stops of a machine whose attempts are not known yet: a leader that
// can't read the task records renews leases all the same, and whatever the records say,
// no task of a cancelled job may go on.
func (f *failureDetector) cancelledTasks(hb *wire.Report) []wire.Command {
	var cs []wire.Command
	for _, t := range hb.Tasks {
		id, _, _ := wire.SplitTask(t.ID)
		if f.c.withdrawn(id) && t.State != wire.TaskExited {
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
func (f *failureDetector) mustNotRenew(m *machine, hb *wire.Report) bool {
	for _, a := range m.list {
		if a.job.cancelled && a.phase >= attemptSent && a.token >= f.token && !f.c.now.Before(a.job.cancelledAt.Add(f.c.cancellationWindow())) &&
			!slices.ContainsFunc(hb.Tasks, func(t wire.Task) bool { return t.ID == a.taskID() && t.Attempt == a.number }) {
			return true
		}
	}
	return false
}

// applyHeartbeat updates a machine by the status in its worker's heartbeat.
func (f *failureDetector) applyHeartbeat(m *machine, hb *wire.Report) {
	c := f.c
	if m.up && !hb.Newer(m.session, m.seq) {
		return
	}
	if !m.up {
		c.log(slog.LevelInfo, "machine up", "machine", m.id, "type", hb.Type, "zone", hb.Zone, "spot", hb.Spot, "after", c.now.Sub(m.since))
		m.idle = c.now // not idle while it booted
		// It may have begun a session after our election: its lease counts from now.
		m.answered = c.now
		f.wantPlacement()
	} else if hb.Session > m.session {
		c.log(slog.LevelInfo, "machine's lease ran out", "machine", m.id, "session", hb.Session)
		// The new session's lease began by now at the latest. Without this, what is
		// placed in it would be taken for lost when the old session's time is up.
		m.answered = c.now
	}
	m.up, m.addr, m.typ, m.zone, m.spot = true, hb.Addr, hb.Type, hb.Zone, hb.Spot
	m.unanswered, m.snapshot = false, nil
	m.session, m.seq, m.token, m.reported = hb.Session, hb.Seq, hb.Token, c.now
	if notice := hb.NoticeS != nil; notice != m.notice {
		m.notice = notice
		if notice {
			c.log(slog.LevelInfo, "machine will be taken", "machine", m.id)
			f.drain(m, *hb.NoticeS)
		}
	}
	listed := map[taskKey]bool{}
	clear(m.unknownAttempts)
	for _, t := range hb.Tasks {
		k := taskKey{t.ID, t.Attempt}
		listed[k] = true
		f.applyTaskStatus(m, k, t)
	}
	for k := range m.ended {
		if !listed[k] {
			delete(m.ended, k)
			delete(m.runToken, k)
		}
	}
	for _, a := range m.list {
		if !listed[a.key()] {
			f.attemptMissing(a)
		}
	}
	if len(m.attempts)+len(m.unknownAttempts) > 0 {
		m.idle = c.now
	}
}

// applyTaskStatus applies the status of one task in a heartbeat.
func (f *failureDetector) applyTaskStatus(m *machine, k taskKey, t wire.Task) {
	id, n, ok := wire.SplitTask(t.ID)
	a := m.attempts[k]
	if t.State != wire.TaskExited {
		if a != nil {
			f.adoptAttempt(a, t.State)
		} else {
			m.unknownAttempts[k] = true
		}
		return
	}
	if _, seen := m.ended[k]; !seen {
		m.ended[k] = f.c.now
	}
	if a != nil {
		f.attemptEnded(a, t.Why)
		return
	}
	// A finish is a fact whichever attempt it came from.
	if j := f.jobs[id]; ok && j != nil && t.Why == wire.WhyDone && n < j.spec.Tasks && j.spec.Kind != wire.KindService {
		f.finish(j, n)
	}
}

// adoptAttempt adopts an attempt that a heartbeat shows on its machine.
func (f *failureDetector) adoptAttempt(a *attempt, state string) {
	a.advance(attemptSeen)
	a.saving = state == wire.TaskSaving
	a.job.state.Start(a.task)
	if state == wire.TaskRunning && a.phase < attemptRunning {
		a.advance(attemptRunning)
		a.since, a.job.begun = f.c.now, true
		a.machine.images[a.job.spec.Image] = true
		f.zones.startSeen(a)
		f.c.log(slog.LevelDebug, "task running", "job", a.job.id, "task", a.task, "attempt", a.number,
			"machine", a.machine.id, "after", f.c.now.Sub(a.placed))
	}
}

// attemptEnded handles the end of an attempt that a heartbeat tells, which proves it gone.
func (f *failureDetector) attemptEnded(a *attempt, why string) {
	j, m := a.job, a.machine
	switch {
	case why == wire.WhyDone && j.spec.Kind != wire.KindService:
		j.begun = true
		m.images[j.spec.Image] = true
		clear(m.faults)
		delete(j.fails, a.task)
		j.failures.Succeeded()
		f.gone(a, reduction.Succeeded, proofFromHeartbeat(why))
		return
	case why == wire.WhyError:
		f.taskFailed(a)
	}
	if why != wire.WhyStopped {
		// A reset outcome: tried again, later each time. An accepted job is never given up.
		pause := j.failures.RetryDelay(j.fails[a.task])
		j.fails[a.task]++
		j.retryAt[a.task] = f.c.now.Add(pause)
		f.c.after(pause, f.wantPlacement)
	}
	f.gone(a, reduction.Reset, proofFromHeartbeat(why))
}

// attemptMissing handles an attempt that a heartbeat does not list. That proves it gone
// only when no copy of its run can still arrive: the worker is in a newer agent
// epoch, or has seen a fencing token above all that the run was sent with.
func (f *failureDetector) attemptMissing(a *attempt) {
	m := a.machine
	if m.session > a.session || m.token > a.token && a.phase >= attemptSent {
		f.gone(a, reduction.Reset, proofAbsent)
	} else if a.phase >= attemptSeen {
		// It was there, has not ended, and is not there in the same stint: the
		// machine has begun again. Nothing but a raised token can prove it gone.
		f.raiseToken("attempt has vanished")
	}
}
