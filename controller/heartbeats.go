package controller

import (
	"log/slog"
	"net/http"
	"slices"

	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/wire"
)

// Worker heartbeats, each of which carries the status of the worker's machine: how they are
// answered, and how they update the leader's view of attempts.

// answerHeartbeat answers a worker's heartbeat. Only a leader with authority may answer 200.
func (c *Core) answerHeartbeat(r ReportRequest) {
	l := c.lead
	if !c.hasAuthority() {
		c.redirectOrRelay(r)
		return
	}
	heartbeat := r.Report
	if _, released := l.released[heartbeat.Machine]; released || heartbeat.Token > l.token {
		c.retryLater(r.Req, "machine released or token outdated")
		return
	}
	m := l.machine(heartbeat.Machine)
	if m.up && !heartbeat.Newer(m.session, m.seq) {
		c.retryLater(r.Req, "stale report") // a delayed copy, which does not show the present state
		return
	}
	switch {
	case !l.recovered: // the machine is probed once the records are read
		if heartbeat.Addr != "" && c.machineHints[m.id] == nil {
			c.machineHints[m.id] = &mesh.Hint{Machine: m.id, Addr: heartbeat.Addr}
		}
	case !m.up && heartbeat.Token < l.electedToken:
		// Sent before this leader's election, so it may be a delayed copy from a machine that
		// no longer exists. The machine counts as up only after it answers a probe or sends a
		// heartbeat with a token of this leader.
		l.probe(m.id, heartbeat.Addr)
	default:
		l.failureDetector.applyHeartbeat(m, &heartbeat)
	}
	if l.failureDetector.mustNotRenewLease(m, &heartbeat) {
		c.retryLater(r.Req, "a cancelled task may still start")
		return
	}
	// The answer renews the machine's lease, so the renewal is recorded before the answer is sent.
	m.leaseRenewedAt, m.leaseExpired = c.now, false
	body := wire.ReportAnswer{Token: l.token}
	if m.up {
		body.Commands = l.heartbeatCommands(m)
	} else {
		body.Commands = l.failureDetector.cancelledTasks(&heartbeat)
	}
	c.answer(r.Req, http.StatusOK, body)
}

// cancelledTasks returns stop commands for the tasks of cancelled jobs on a machine whose attempts
// are not known yet. A leader that cannot read the task records renews leases nevertheless, and no
// task of a cancelled job may continue, whatever the records contain.
func (f *failureDetector) cancelledTasks(heartbeat *wire.Report) []wire.Command {
	var commands []wire.Command
	for _, t := range heartbeat.Tasks {
		id, _, _ := wire.SplitTaskID(t.ID)
		if f.c.effectivelyCancelled(id) && t.State != wire.TaskExited {
			commands = append(commands, wire.Command{Op: wire.OpStop, Task: t.ID, Attempt: t.Attempt})
		}
	}
	return commands
}

// mustNotRenewLease reports whether a machine's lease must not be renewed: a run command of a
// cancelled task may still be in transit to the machine, so that a stop command sent now could
// arrive before it without effect, and a renewed lease could expire only after the cancellation
// deadline. A higher fencing token resolves this with the answer that carries it to the worker, but
// the token cannot be raised while the state service is unavailable. A task that the heartbeat
// lists does not prevent the renewal, because its stop command is sent in the same answer.
func (f *failureDetector) mustNotRenewLease(m *machine, heartbeat *wire.Report) bool {
	for _, a := range m.attemptsInOrder() {
		inDoubt := a.job.cancelled && a.phase >= attemptSent && a.token >= f.token && !f.c.now.Before(a.job.cancelledAt.Add(f.c.cancellationWindow()))
		if inDoubt && !listsAttempt(heartbeat, a.key()) {
			return true
		}
	}
	return false
}

// listsAttempt reports whether a heartbeat lists an attempt.
func listsAttempt(heartbeat *wire.Report, k taskKey) bool {
	return slices.ContainsFunc(heartbeat.Tasks, func(t wire.Task) bool { return t.ID == k.task && t.Attempt == k.attempt })
}

// applyHeartbeat updates a machine from the status in its worker's heartbeat.
func (f *failureDetector) applyHeartbeat(m *machine, heartbeat *wire.Report) {
	c := f.c
	if m.up && !heartbeat.Newer(m.session, m.seq) {
		return
	}
	if !m.up {
		c.log(slog.LevelInfo, "machine up", "machine", m.id, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot, "after", c.now.Sub(m.knownSince))
		m.idleSince = c.now // boot time does not count as idle time
		// The session may have started after this leader's election, so its lease is counted
		// from now.
		m.leaseRenewedAt = c.now
		f.schedulePlacement()
	} else if heartbeat.Session > m.session {
		c.log(slog.LevelInfo, "machine's lease ran out", "machine", m.id, "session", heartbeat.Session)
		// The new session's lease started no later than now. Otherwise attempts placed in the new
		// session would count as lost when the old session's lease expires.
		m.leaseRenewedAt = c.now
	}
	m.up, m.addr, m.typ, m.zone, m.spot = true, heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	m.lastCommandUnanswered, m.snapshot = false, nil
	m.session, m.seq, m.token, m.lastHeartbeat = heartbeat.Session, heartbeat.Seq, heartbeat.Token, c.now
	if notice := heartbeat.NoticeS != nil; notice != m.reclaimNotice {
		m.reclaimNotice = notice
		if notice {
			c.log(slog.LevelInfo, "machine will be taken", "machine", m.id)
			f.drain(m, *heartbeat.NoticeS)
		}
	}
	listed := map[taskKey]bool{}
	clear(m.unknownAttempts)
	for _, t := range heartbeat.Tasks {
		k := taskKey{t.ID, t.Attempt}
		listed[k] = true
		f.applyTaskStatus(m, k, t)
	}
	for k := range m.endedAttempts.reportedAt {
		if !listed[k] {
			m.endedAttempts.remove(k)
			delete(m.runToken, k)
		}
	}
	for _, a := range m.attemptsInOrder() {
		if !listed[a.key()] {
			f.attemptMissing(a)
		}
	}
	if len(m.attempts)+len(m.unknownAttempts) > 0 {
		m.idleSince = c.now
	}
}

// applyTaskStatus applies the status of one task in a heartbeat.
func (f *failureDetector) applyTaskStatus(m *machine, k taskKey, t wire.Task) {
	id, n, ok := wire.SplitTaskID(t.ID)
	a := m.attempts[k]
	if t.State != wire.TaskExited {
		if a != nil {
			f.adoptAttempt(a, t.State)
		} else {
			m.unknownAttempts[k] = true
		}
		return
	}
	m.endedAttempts.add(k, f.c.now)
	if a != nil {
		f.attemptEnded(a, t.ExitReason)
		return
	}
	// The task is done, whichever of its attempts finished it.
	if j := f.jobs[id]; ok && j != nil && t.ExitReason == wire.ExitReasonDone && n < j.spec.Tasks && j.spec.Kind != wire.KindService {
		f.completeTask(j, n)
	}
}

// adoptAttempt records that a heartbeat lists an attempt on its machine in a state other than exited.
func (f *failureDetector) adoptAttempt(a *attempt, state string) {
	a.advance(attemptReported)
	a.savingCheckpoint = state == wire.TaskSaving
	a.job.state.Start(a.task)
	if state == wire.TaskRunning && a.phase < attemptRunning {
		a.advance(attemptRunning)
		a.runningSince, a.job.hasStarted = f.c.now, true
		a.machine.images[a.job.spec.Image] = true
		f.zones.startSucceeded(a)
		f.c.log(slog.LevelDebug, "task running", "job", a.job.id, "task", a.task, "attempt", a.number,
			"machine", a.machine.id, "after", f.c.now.Sub(a.placed))
	}
}

// attemptEnded handles an attempt that a heartbeat reports as exited, which proves that it has ended.
func (f *failureDetector) attemptEnded(a *attempt, exitReason string) {
	j, m := a.job, a.machine
	switch {
	case exitReason == wire.ExitReasonDone && j.spec.Kind != wire.KindService:
		j.hasStarted = true
		m.images[j.spec.Image] = true
		clear(m.failedJobs)
		delete(j.failureCounts, a.task)
		j.failureClass.RecordSuccess()
		f.removeAttempt(a, reduction.Succeeded, proofFromHeartbeat(exitReason))
		return
	case exitReason == wire.ExitReasonError:
		f.taskFailed(a)
	}
	if exitReason != wire.ExitReasonStopped {
		// The task is retried with increasing backoff. Retries of an accepted job never end.
		delay := j.failureClass.RetryDelay(j.failureCounts[a.task])
		j.failureCounts[a.task]++
		j.retryAt[a.task] = f.c.now.Add(delay)
		f.c.after(delay, f.schedulePlacement)
	}
	f.removeAttempt(a, reduction.Reset, proofFromHeartbeat(exitReason))
}

// attemptMissing handles an attempt that a heartbeat does not list. This proves that the attempt has
// ended only if no copy of its run command can still take effect: the worker is in a newer
// session, or has received a fencing token higher than any that the run command was sent with.
func (f *failureDetector) attemptMissing(a *attempt) {
	m := a.machine
	if m.session > a.session || m.token > a.token && a.phase >= attemptSent {
		f.removeAttempt(a, reduction.Reset, proofAbsent)
	} else if a.phase >= attemptReported {
		// An earlier heartbeat of the same session listed the attempt, none reported its end, and
		// this one does not list it: the machine has restarted. Only a higher fencing token can
		// prove that the attempt has ended.
		f.raiseToken("attempt has vanished")
	}
}
