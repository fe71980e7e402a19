package controller

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// proveEvery is how often time is asked for proofs.
const proofInterval = 100 * time.Millisecond

// taskKey names one attempt of one task.
type taskKey struct {
	task    string
	attempt uint64
}

func (a *attempt) key() taskKey { return taskKey{a.taskID(), a.number} }

// machine is a machine in the leader's ledger: rented, reporting, or known only
// from an earlier leader's placements.
type machine struct {
	id, addr, typ, zone string
	part                string // the controller whose part it is hashed to
	spot                bool
	up                  bool // has reported to us
	session, seq, token uint64
	since               time.Time // first known
	rented              time.Time // by us; zero: by an earlier leader
	reported            time.Time // its last report or answer
	answered            time.Time // our last 200, which may have renewed its lease
	idle                time.Time // without tasks since
	notice              bool      // the cloud will take it away
	listed              time.Time // since when the cloud's list must show it; zero: not known
	releasing           bool
	consolidating       bool      // its replicas move elsewhere, it takes nothing
	immovableAt         time.Time // when there was no room elsewhere for its replicas
	leaseOut            bool
	unanswered          bool      // the last command got no answer, and no report came since
	unansweredSince     time.Time // when the first of the commands was sent that got no answer; zero: the last got one
	unreachableSince    time.Time // the same, but of those that were not sent during a cut
	probeAt             time.Time // when it is worth asking again

	attempts        map[taskKey]*attempt
	list            []*attempt         // the same in order; never changed in place, so that it can be walked meanwhile
	snapshot        *scheduler.Machine // as a round of placement sees it; nil: to be made anew
	runToken        map[taskKey]uint64 // highest token that a run was sent with
	ended           map[taskKey]time.Time
	unknownAttempts map[taskKey]bool // live attempts that are in nobody's record
	images          map[string]bool
	imagesTold      int             // how many of them the other controllers know
	faults          map[string]bool // jobs that failed here
	outbox          []*attempt
	stops           []wire.Command
	queuedToSend    bool // listed among those with something to send
	callInFlight    bool
}

// force puts an attempt in force on its machine.
func (m *machine) add(a *attempt) {
	m.attempts[a.key()] = a
	at, _ := slices.BinarySearchFunc(m.list, a, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.job.id, y.job.id), cmp.Compare(x.task, y.task))
	})
	m.list = slices.Insert(slices.Clone(m.list), at, a)
	m.snapshot = nil
}

// drop takes an attempt out of force.
func (m *machine) remove(a *attempt) {
	delete(m.attempts, a.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(o *attempt) bool { return o == a })
	m.snapshot = nil
}

// machine returns the ledger's entry, made when it is first heard of.
func (l *leader) machine(id string) *machine {
	m := l.machines[id]
	if m == nil {
		m = &machine{
			id: id, part: scheduler.PartOf(id, l.c.members()), since: l.c.now, idle: l.c.now, answered: l.elected,
			attempts: map[taskKey]*attempt{}, runToken: map[taskKey]uint64{}, ended: map[taskKey]time.Time{},
			unknownAttempts: map[taskKey]bool{}, images: map[string]bool{}, faults: map[string]bool{},
		}
		if h := l.c.hints[id]; h != nil {
			for _, image := range h.Images {
				m.images[image] = true
			}
		}
		m.imagesTold = -1
		l.machines[id] = m
		at, _ := slices.BinarySearchFunc(l.fleetOrder, id, func(o *machine, id string) int { return cmp.Compare(o.id, id) })
		l.fleetOrder = slices.Insert(l.fleetOrder, at, m)
	}
	return m
}

// seek asks a machine for a report at once, by a command that says nothing: its
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
		l.apply(l.machine(id), &r.Report)
	})
}

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

// unwanted lists the stops of a machine whose attempts are not known yet: a leader that
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

// mustLapse tells whether a machine's lease may not be renewed any more: the run of a
// task that was cancelled may still be on its way there, where no stop can forestall
// it, and the time that a cancellation has would be over before the lease. A raised
// token settles it, with the very answer that tells the worker of it, but can't be had
// while the state service is out. A task that the report lists is another matter: its
// stop goes with the renewal.
func (l *leader) mustNotRenew(m *machine, rep *wire.Report) bool {
	for _, a := range m.list {
		if a.job.cancelled && a.sent && a.token >= l.token && !l.c.now.Before(a.job.cancelledAt.Add(l.c.cancellationWindow())) &&
			!slices.ContainsFunc(rep.Tasks, func(t wire.Task) bool { return t.ID == a.taskID() && t.Attempt == a.number }) {
			return true
		}
	}
	return false
}

// apply takes in what a worker says of its machine.
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

// applyTask takes in one line of a report.
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

// alive adopts an attempt that a report shows on its machine.
func (l *leader) attemptSeen(a *attempt, state string) {
	a.seen = true
	a.job.state.Start(a.task)
	if state == wire.TaskRunning && !a.running {
		a.running, a.since, a.job.begun = true, l.c.now, true
		a.machine.images[a.job.spec.Image] = true
		l.c.log(slog.LevelDebug, "task running", "job", a.job.id, "task", a.task, "attempt", a.number,
			"machine", a.machine.id, "after", l.c.now.Sub(a.placed))
	}
}

// exited takes in that an attempt has ended, which proves it gone.
func (l *leader) attemptEnded(a *attempt, why string) {
	j, m := a.job, a.machine
	switch {
	case why == wire.WhyDone && j.spec.Kind != wire.KindService:
		j.begun = true
		m.images[j.spec.Image] = true
		clear(m.faults)
		delete(j.fails, a.task)
		l.gone(a, reduction.Succeeded, why)
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
	l.gone(a, reduction.Reset, why)
}

// absent takes in that a report does not list an attempt. That proves it gone
// only when no copy of its run can still arrive: the worker is in a newer
// session, or has seen a token above all that the run was sent with.
func (l *leader) attemptMissing(a *attempt) {
	m := a.machine
	if m.session > a.session || m.token > a.token && a.sent {
		l.gone(a, reduction.Reset, "not on its machine")
	} else if a.seen {
		// It was there, has not ended, and is not there in the same stint: the
		// machine has begun again. Nothing but a raised token can prove it gone.
		l.raiseToken("attempt has vanished")
	}
}

// commands lists what a report's answer tells the worker.
func (l *leader) commands(m *machine) []wire.Command {
	var cs []wire.Command
	for _, a := range m.list {
		if a.stopping {
			cs = append(cs, wire.Command{Op: wire.OpStop, Task: a.taskID(), Attempt: a.number, GraceS: a.grace})
		} else if !a.seen && l.mayRun(a) {
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

// mayRun tells whether an attempt's run may be sent now. Never that of an earlier
// leader's attempt: that leader may have had proof that it was gone and have given its
// room to others without living to write it down, so together the records may hold
// more than a team's limit or a job's constraints allow. What does run of it is kept;
// the rest is gone by the first report that has seen our token, and placed anew.
func (l *leader) mayRun(a *attempt) bool {
	return a.recorded && !a.restored && !a.stopping && !a.job.cancelled && a.session == a.machine.session && !a.machine.releasing
}

func (l *leader) runCommand(a *attempt) wire.Command {
	a.sent = true
	a.token = l.token
	a.machine.runToken[a.key()] = l.token
	return wire.Command{Op: wire.OpRun, Task: a.taskID(), Attempt: a.number}
}

// forgettable tells whether a worker may forget an ended attempt: its outcome is
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
	if w := a.job.write; !a.sent && (w == nil || !slices.Contains(w.attempts, a)) {
		l.gone(a, reduction.Reset, "never sent")
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
	if a.sent {
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
			if l.mayRun(a) && !a.seen && a.job.attempts[a.task] == a {
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
			l.release(m, "has begun again")
			return
		}
		l.apply(m, &r.Report)
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
	if m.unreachableSince.IsZero() || m.unreachableSince.Before(l.partitionedAt[m.zone]) || m.unreachableSince.Before(l.partitionedAt[""]) {
		m.unreachableSince = sent
	}
	pause := min(max(l.c.now.Sub(m.unansweredSince)/4, tickEvery), leadCallTimeout)
	m.probeAt = l.c.now.Add(pause)
}

// leaseEnd is when a machine's lease has run out for sure, by our clock.
func (l *leader) leaseEnd(m *machine) time.Time {
	lease := config.Seconds(l.c.cfg.Facts.Workers.LeaseS * (1 + 2*clockDrift))
	return m.answered.Add(lease + 200*time.Millisecond)
}

// prove looks for attempts that time has proved gone, and for what only a
// raised token can settle.
func (l *leader) proveGone() {
	now := l.c.now
	if now.Sub(l.proofsAt) < proofInterval {
		return // a walk over all machines, and nothing that it finds is that urgent
	}
	l.proofsAt = now
	l.partitioned = l.partitionedZones()
	for _, m := range l.fleetOrder {
		if !m.leaseOut && now.After(l.leaseEnd(m)) {
			m.leaseOut = true
			if len(m.attempts) > 0 {
				l.c.log(slog.LevelInfo, "machine lost", "machine", m.id, "tasks", len(m.attempts))
			}
			for _, a := range m.list {
				l.gone(a, reduction.Reset, "lease ran out")
			}
		}
		for k, since := range m.ended {
			if m.runToken[k] >= l.token && now.Sub(since) > raiseToForgetAfter {
				l.raiseToken("ended attempts to forget")
			}
		}
		for _, a := range m.list {
			if a.stopping && !a.seen && now.Sub(a.stoppedAt) > raiseForStoppedAfter && a.token >= l.token {
				l.raiseToken("stopped attempt in doubt")
			}
		}
	}
}

// drain moves off a machine that will be taken all that loses nothing, can save, or
// can't be expected to end in the seconds that are left: it begins again elsewhere
// that much sooner.
func (l *leader) drain(m *machine, left float64) {
	for _, a := range m.list {
		j := &a.job.spec
		if j.Kind == wire.KindService || j.CheckpointS > 0 || l.remaining(a) > left {
			l.stop(a, graceOf(j))
		}
	}
	l.wantPlacement()
}

// remaining estimates for how many seconds an attempt will go on. One that runs for
// longer than its owner thought may do so for a while.
func (l *leader) remaining(a *attempt) float64 {
	if !a.running {
		return a.job.spec.EstimateS
	}
	ran := l.c.now.Sub(a.since).Seconds()
	return max(a.job.spec.EstimateS-ran, ran/4)
}

// graceOf is the time that a stopped task gets to save.
func graceOf(j *wire.Job) float64 {
	if j.CheckpointS == 0 {
		return 0
	}
	return j.SaveS*1.5 + 1
}
