package controller

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// Commands to workers, with the answer to a report or directly. None is sent without authority,
// and no run before its placement is on record.

// commands lists what a report's answer tells the worker.
func (l *leader) commands(m *machine) []wire.Command {
	var cs []wire.Command
	for _, a := range m.list {
		if a.stopping {
			cs = append(cs, wire.Command{Op: wire.OpStop, Task: a.taskID(), Attempt: a.number, GraceS: a.grace})
		} else if a.phase < attemptSeen && l.mayRun(a) {
			cs = append(cs, l.runCommand(a))
		}
	}
	for k := range m.unknownAttempts {
		cs = append(cs, wire.Command{Op: wire.OpStop, Task: k.task, Attempt: k.attempt})
	}
	for k := range m.ended {
		if l.forgettable(m, k) {
			cs = append(cs, wire.Command{Op: wire.OpForget, Task: k.task, Attempt: k.attempt})
		}
	}
	slices.SortStableFunc(cs, func(a, b wire.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	const most = 400 // keeps the answer far below 64 KiB; the rest follows with the next report
	return cs[:min(len(cs), most)]
}

// mayRun reports whether an attempt's run may be sent now. Never that of an earlier
// leader's attempt: that leader may have had proof that it was gone and have given its
// room to others without living to write it down, so together the records may hold
// more than a team's limit or a job's constraints allow. What does run of it is kept;
// the rest is gone by the first report that has seen our token, and placed anew.
func (l *leader) mayRun(a *attempt) bool {
	return a.phase >= attemptRecorded && !a.restored && !a.stopping && !a.job.cancelled && a.session == a.machine.session && !a.machine.releasing
}

func (l *leader) runCommand(a *attempt) wire.Command {
	a.advance(attemptSent)
	a.token = l.token
	a.machine.runToken[a.key()] = l.token
	return wire.Command{Op: wire.OpRun, Task: a.taskID(), Attempt: a.number}
}

// forgettable reports whether a worker may forget an ended attempt: its outcome is
// recorded, and the worker refuses every copy of its run that may still be on
// its way because it has seen a higher token.
func (l *leader) forgettable(m *machine, k taskKey) bool {
	if m.attempts[k] != nil || m.token <= m.runToken[k] || m.token != l.token {
		return false
	}
	id, _, _ := wire.SplitTask(k.task)
	j := l.jobs[id]
	return j == nil || !j.dirty && j.write == nil
}

// stop makes an attempt stop; it stays in force until it is proved gone. One whose
// run was not sent will not be: nobody else would ever prove it gone. While its
// record is being written, the end of the write sees to it.
func (l *leader) stop(a *attempt, grace float64) {
	if w := a.job.write; a.phase < attemptSent && (w == nil || !slices.Contains(w.attempts, a)) {
		l.gone(a, reduction.Reset, proofNeverSent)
		return
	}
	if a.stopping && a.grace <= grace {
		return
	}
	if !a.stopping {
		a.stoppedAt = l.c.now
	}
	a.stopping, a.grace = true, grace
	a.machine.snapshot = nil
	if a.phase >= attemptSent {
		a.machine.stops = append(a.machine.stops, wire.Command{Op: wire.OpStop, Task: a.taskID(), Attempt: a.number, GraceS: grace})
		l.hasToSend(a.machine)
	}
}

// hasToSend lists a machine among those that commands wait for.
func (l *leader) hasToSend(m *machine) {
	if !m.queuedToSend {
		m.queuedToSend = true
		l.toSend = append(l.toSend, m)
	}
}

// sendCommands sends directly what can't wait for the next report. A command
// without an answer may still run; the attempt stays in force either way.
func (l *leader) sendCommands() {
	ms := l.toSend
	l.toSend = nil
	for _, m := range ms {
		m.queuedToSend = false
		if m.callInFlight || len(m.outbox)+len(m.stops) == 0 {
			continue // the end of the call lists it again
		}
		cs := m.stops
		for _, a := range m.outbox {
			if l.mayRun(a) && a.phase < attemptSeen && a.job.attempts[a.task] == a {
				cs = append(cs, l.runCommand(a))
			}
		}
		m.outbox, m.stops = nil, nil
		if len(cs) > 0 && m.up && !m.releasing {
			l.command(m, cs)
		}
	}
}

func (l *leader) command(m *machine, cs []wire.Command) {
	m.callInFlight = true
	timeout := leadCallTimeout
	if len(cs) == 0 {
		timeout = probeTimeout
	}
	body := wire.Commands{Token: l.token, Session: m.session, Commands: cs}
	sent, session, seq := l.c.now, m.session, m.seq
	l.c.worker(WorkerCall{Machine: m.id, Addr: m.addr, Commands: body, Timeout: timeout}, func(r WorkerReply) {
		if l.c.lead != l || l.machines[m.id] != m {
			return
		}
		m.callInFlight = false
		l.hasToSend(m)
		m.unanswered = r.Status == 0
		if r.Status == 0 || r.Report.Machine != m.id {
			l.noAnswer(m, sent)
			return
		}
		m.unansweredSince, m.unreachableSince, m.probeAt = time.Time{}, time.Time{}, time.Time{}
		if !r.Report.Newer(session, seq) {
			// Older than what the machine had said before it was asked: it has begun to
			// count again. Late copies from before would pass for newer than all that
			// it says now, so nothing it says can be relied on; its release can.
			l.release(m, releaseRestarted)
			return
		}
		l.failures.applyHeartbeat(m, &r.Report)
		if r.Status == http.StatusConflict && r.Report.Token <= l.token {
			// Refused for an older token or session: what is still wanted goes again.
			m.outbox = append(m.outbox, m.list...)
			l.hasToSend(m)
		}
	})
}

// noAnswer notes that a command to a machine got no answer. Its reports may go on
// arriving while it hears nothing: they say no more than that it can send.
func (l *leader) noAnswer(m *machine, sent time.Time) {
	if m.unansweredSince.IsZero() {
		m.unansweredSince = sent
	}
	// What was lost on a way that was cut says nothing of the machine, and the first
	// command after that may be lost too.
	if m.unreachableSince.IsZero() || m.unreachableSince.Before(l.partitions.lastSeen[m.zone]) || m.unreachableSince.Before(l.partitions.lastSeen[allZones]) {
		m.unreachableSince = sent
	}
	pause := min(max(l.c.now.Sub(m.unansweredSince)/4, tickEvery), leadCallTimeout)
	m.probeAt = l.c.now.Add(pause)
}

// probe asks a machine for a report at once, by a command that says nothing: its
// worker may take seconds to find a new leader by itself. Any session will do, a
// refusal carries the report too. What leads here may be an answer that was long on
// its way, to a leader that has lost its authority meanwhile.
func (l *leader) probe(id, addr string) {
	if at, ok := l.probedAt[id]; ok && l.c.now.Sub(at) < probePause || !l.c.entitled() {
		return
	}
	l.probedAt[id] = l.c.now
	body := wire.Commands{Token: l.token}
	l.c.worker(WorkerCall{Machine: id, Addr: addr, Commands: body, Timeout: probeReportTimeout}, func(r WorkerReply) {
		_, gone := l.released[id]
		if l.c.lead != l || gone || r.Report.Token > l.token {
			return
		}
		if m := l.machines[id]; m != nil && !m.up {
			m.unanswered = r.Status == 0
		}
		if r.Status == 0 || r.Report.Machine != id {
			return
		}
		l.failures.applyHeartbeat(l.machine(id), &r.Report)
	})
}
