package controller

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// Commands to workers, sent in the answer to a heartbeat or directly. No command is sent without
// authority, and no run command before the placement is on record in the state service.

// heartbeatCommands returns the commands for the answer to a machine's heartbeat.
func (l *leader) heartbeatCommands(m *machine) []wire.Command {
	var commands []wire.Command
	for _, a := range m.attemptsInOrder() {
		if a.stopping {
			commands = append(commands, wire.Command{Op: wire.OpStop, Task: a.taskID(), Attempt: a.number, GraceS: a.graceS})
		} else if a.phase < attemptReported && l.mayRun(a) {
			commands = append(commands, l.runCommand(a))
		}
	}
	for k := range m.unknownAttempts {
		commands = append(commands, wire.Command{Op: wire.OpStop, Task: k.task, Attempt: k.attempt})
	}
	for k := range m.endedAttempts.reportedAt {
		if l.mayForget(m, k) {
			commands = append(commands, wire.Command{Op: wire.OpForget, Task: k.task, Attempt: k.attempt})
		}
	}
	slices.SortStableFunc(commands, func(a, b wire.Command) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if len(commands) > maxCommands { // the rest follows with the next heartbeat, stops are never put off for other commands
		slices.SortStableFunc(commands, func(a, b wire.Command) int { return stopsFirst(a) - stopsFirst(b) })
		commands = commands[:maxCommands]
	}
	return commands
}

// maxCommands bounds the number of commands in one message to a worker, which stays below 64 KiB with so many. It is above
// slotsPerMachine, so that one message can stop all tasks of a machine.
const maxCommands = 700

// stopsFirst is a sort key that puts stop commands before all others.
func stopsFirst(command wire.Command) int {
	if command.Op == wire.OpStop {
		return 0
	}
	return 1
}

// mayRun reports whether an attempt's run command may be sent now.
//
// The run command of an earlier leader's attempt is never sent again. That leader may have had proof
// that the attempt had ended, and have given its resources to others, but have failed before it
// recorded this. Together the records may therefore hold more than a team's limit or a job's
// constraints allow. Attempts of an earlier leader that do run are kept. The others end with the
// first heartbeat that carries this leader's token, and their tasks are placed again.
func (l *leader) mayRun(a *attempt) bool {
	return a.phase >= attemptRecorded && !a.restored && !a.stopping && !a.job.cancelled && a.session == a.machine.session && !a.machine.releasing
}

// runCommand returns the run command for an attempt and records that it is sent with the current
// token.
func (l *leader) runCommand(a *attempt) wire.Command {
	a.advance(attemptSent)
	a.token = l.token
	a.machine.runToken[a.key()] = l.token
	return wire.Command{Op: wire.OpRun, Task: a.taskID(), Attempt: a.number}
}

// mayForget reports whether a worker may forget an ended attempt: its outcome is on record, and the
// worker has received a higher fencing token, so that it rejects every copy of the run command that
// may still be in transit.
func (l *leader) mayForget(m *machine, k taskKey) bool {
	if m.attempts[k] != nil || m.token <= m.runToken[k] || m.token != l.token {
		return false
	}
	id, _, _ := wire.SplitTaskID(k.task)
	j := l.jobs[id]
	return j == nil || !j.dirty && j.write == nil
}

// stop stops an attempt, which stays active until it is proved to have ended. An attempt whose run
// command has not been sent ends at once, as nothing else would ever prove its end. If its record is
// being written, the completion of that write ends it.
func (l *leader) stop(a *attempt, graceS float64) {
	if w := a.job.write; a.phase < attemptSent && (w == nil || !slices.Contains(w.attempts, a)) {
		l.removeAttempt(a, reduction.Reset, proofNeverSent)
		return
	}
	if a.stopping && a.graceS <= graceS {
		return
	}
	if !a.stopping {
		a.stoppedAt = l.c.now
	}
	a.stopping, a.graceS = true, graceS
	a.machine.snapshot = nil
	if a.phase >= attemptSent {
		a.machine.pendingStops = append(a.machine.pendingStops, wire.Command{Op: wire.OpStop, Task: a.taskID(), Attempt: a.number, GraceS: graceS})
		l.enqueueForSending(a.machine)
	}
}

// enqueueForSending adds a machine to those that sendCommands visits next.
func (l *leader) enqueueForSending(m *machine) {
	if !m.queuedToSend {
		m.queuedToSend = true
		l.toSend = append(l.toSend, m)
	}
}

// sendCommands sends the commands that should not wait for the next heartbeat. A command without an
// answer may still take effect; the attempt stays active in either case.
func (l *leader) sendCommands() {
	ms := l.toSend
	l.toSend = nil
	for _, m := range ms {
		m.queuedToSend = false
		if m.callInFlight || len(m.pendingRuns)+len(m.pendingStops) == 0 {
			continue // a call in flight calls enqueueForSending again when it ends
		}
		commands := l.takePendingCommands(m)
		if len(commands) > 0 && m.up && !m.releasing {
			l.sendCommand(m, commands)
		}
	}
}

// takePendingCommands removes up to maxCommands commands from those to be sent directly to a machine, stops first, and
// returns them. The others are sent when the call with these has ended.
func (l *leader) takePendingCommands(m *machine) []wire.Command {
	stops := min(len(m.pendingStops), maxCommands)
	commands := slices.Clone(m.pendingStops[:stops])
	m.pendingStops = m.pendingStops[stops:]
	taken := 0
	for _, a := range m.pendingRuns {
		if len(commands) == maxCommands {
			break
		}
		taken++
		if l.mayRun(a) && a.phase < attemptReported && a.job.attempts[a.task] == a {
			commands = append(commands, l.runCommand(a))
		}
	}
	m.pendingRuns = m.pendingRuns[taken:]
	return commands
}

// sendCommand sends commands directly to a machine's worker, whose answer carries its status. Without
// commands it is a probe.
func (l *leader) sendCommand(m *machine, commands []wire.Command) {
	m.callInFlight = true
	timeout := leadCallTimeout
	if len(commands) == 0 {
		timeout = probeTimeout
	}
	body := wire.Commands{Token: l.token, Session: m.session, Commands: commands}
	sent, session, seq := l.c.now, m.session, m.seq
	l.c.callWorker(WorkerCall{Machine: m.id, Addr: m.addr, Commands: body, Timeout: timeout}, func(r WorkerReply) {
		if l.c.lead != l || l.machines[m.id] != m {
			return
		}
		m.callInFlight = false
		l.enqueueForSending(m)
		m.lastCommandUnanswered = r.Status == 0
		if r.Status == 0 || r.Report.Machine != m.id {
			l.commandUnanswered(m, sent)
			return
		}
		m.unansweredSince, m.unreachableSince, m.nextProbeAt = time.Time{}, time.Time{}, time.Time{}
		if !r.Report.Newer(session, seq) {
			// The answer is older than the status that the machine had sent before this command,
			// so its counters were reset. Delayed copies of earlier statuses would count as newer
			// than its current ones, so none can be relied on. The release of the machine is
			// reliable proof instead.
			l.release(m, releaseRestarted)
			return
		}
		l.failureDetector.applyHeartbeat(m, &r.Report)
		if r.Status == http.StatusConflict && r.Report.Token <= l.token {
			// Refused because of an older token or session: the run commands that are still valid are sent again.
			m.pendingRuns = append(m.pendingRuns, m.attemptsInOrder()...)
			l.enqueueForSending(m)
		}
	})
}

// commandUnanswered records that a command to a machine got no answer. The machine's heartbeats may
// continue to arrive while commands do not reach it; heartbeats prove only that it can send.
func (l *leader) commandUnanswered(m *machine, sent time.Time) {
	if m.unansweredSince.IsZero() {
		m.unansweredSince = sent
	}
	// A command lost during a network partition is no evidence against the machine, and the first
	// command after the partition may be lost too.
	if m.unreachableSince.IsZero() || m.unreachableSince.Before(l.partitions.lastSuspected[m.zone]) || m.unreachableSince.Before(l.partitions.lastSuspected[allZones]) {
		m.unreachableSince = sent
	}
	delay := min(max(l.c.now.Sub(m.unansweredSince)/4, tickEvery), leadCallTimeout)
	m.nextProbeAt = l.c.now.Add(delay)
}

// probe requests a machine's status at once with an empty command, because its worker may take
// seconds to find a new leader by itself. The session does not matter, as a refusal carries the
// status too. The authority is checked here because probe may be called on a delayed answer, when
// the leader has lost its authority meanwhile.
func (l *leader) probe(id, addr string) {
	if at, ok := l.probedAt[id]; ok && l.c.now.Sub(at) < probePause || !l.c.hasAuthority() {
		return
	}
	l.probedAt[id] = l.c.now
	body := wire.Commands{Token: l.token}
	l.c.callWorker(WorkerCall{Machine: id, Addr: addr, Commands: body, Timeout: probeReportTimeout}, func(r WorkerReply) {
		_, released := l.released[id]
		if l.c.lead != l || released || r.Report.Token > l.token {
			return
		}
		if m := l.machines[id]; m != nil && !m.up {
			m.lastCommandUnanswered = r.Status == 0
		}
		if r.Status == 0 || r.Report.Machine != id {
			return
		}
		l.failureDetector.applyHeartbeat(l.machine(id), &r.Report)
	})
}
