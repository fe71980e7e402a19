package sim

import (
	"net/http"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// host simulates a machine and the worker on it.
type host struct {
	w                  *World
	id, typ, zone      string
	spot               bool
	rentedAt, bootedAt time.Duration // when it was rented, and when it has booted
	hasEnded           bool
	endedAt            time.Duration
	drift              float64 // relative drift of its clock: by that clock, a lease of LeaseS ends after LeaseS * (1 + drift) seconds

	session, seq, token uint64 // session of the worker, number of the latest report it has built, highest fencing token it has seen
	tasks               []*task
	images              map[string]bool
	leaseStart          time.Duration
	controllerIndex     int // index of the controller to which it reports
	reportNumber        int // number of the latest report; an earlier one's answer or time-out is ignored
	reportInFlight      bool
	lastReportAt        time.Duration
	terminationNotice   bool // the cloud has announced the end of the machine
	faulty              bool // every task on it fails

	partitioned, hung bool // partitioned from the controllers; not executing anything
	receivesNothing   bool // its reports arrive, but answers and commands are lost
	sendsNothing      bool // it can't connect to controllers, but receives commands
	noReports         bool // it runs but sends no reports
	restarting        bool
	listenAddress     string   // address on which it takes commands from real controllers; empty in virtual time
	deferredMessages  []func() // messages to or from it to deliver when the network partition heals
	deferredWhileHung []func() // actions of a hung machine, to run when it resumes
}

// task is an attempt to run a task, on one machine.
type task struct {
	id         string
	job        *simJob // nil: no user has submitted such a job
	attempt    uint64
	state      string
	exitReason string
	started    time.Duration
}

// onMachine reports whether the attempt's process exists: fetching and exited ones have none.
func (t *task) onMachine() bool { return t.state == wire.TaskRunning || t.state == wire.TaskSaving }

func (w *World) newHost(id, typ, zone string, spot bool) *host {
	h := &host{w: w, id: id, typ: typ, zone: zone, spot: spot, rentedAt: w.now, session: 1, images: map[string]bool{},
		drift: (w.rng.Float64() - 0.5) * 0.0008, controllerIndex: w.rng.IntN(len(w.controllers)), faulty: w.chance(0.04)}
	boot := w.between(6*time.Second, 14*time.Second)
	if w.faults.fastBoots {
		boot = w.between(200*time.Millisecond, 2*time.Second)
	}
	if w.chance(0.05) {
		boot = time.Hour // does not boot during the run
	}
	if w.machinesAlwaysBoot {
		boot, h.faulty = min(boot, 14*time.Second), false
	}
	h.bootedAt = w.now + boot
	h.partitioned = w.faults.unreachableZones[zone]
	if w.live != nil {
		w.live.listenForCommands(h)
	}
	w.hosts = append(w.hosts, h)
	w.after(boot, func() {
		h.leaseStart = w.now
		h.watchLease()
		h.report()
	})
	return h
}

// address returns the address to which controllers send commands.
func (h *host) address() string {
	if h.listenAddress != "" {
		return h.listenAddress
	}
	return h.id
}

// runOnMachine runs fn on the machine. It is dropped if the machine no longer exists or is
// restarting, and deferred while the machine hangs.
func (h *host) runOnMachine(fn func()) {
	switch {
	case h.hasEnded || h.restarting:
	case h.hung:
		h.deferredWhileHung = append(h.deferredWhileHung, fn)
	default:
		fn()
	}
}

// deliver delivers a message to the machine. It is deferred while the machine is
// partitioned, and lost while the machine receives nothing.
func (h *host) deliver(fn func()) {
	if h.receivesNothing {
		return
	}
	if h.partitioned {
		h.deferredMessages = append(h.deferredMessages, func() { h.runOnMachine(fn) })
		return
	}
	h.runOnMachine(fn)
}

func (h *host) setPartitioned(on bool) {
	h.partitioned = on
	if !on {
		deferred := h.deferredMessages
		h.deferredMessages = nil
		for _, fn := range deferred {
			h.w.after(h.w.latency(), fn)
		}
	}
}

func (h *host) setHung(on bool) {
	h.hung = on
	if on { // tasks still on it when its lease ends are killed before it resumes
		h.w.after(h.leaseEnd()-h.w.now, func() {
			if h.hung && !h.hasEnded && h.w.now >= h.leaseEnd() {
				h.recordTaskEnds()
			}
		})
	}
	if !on && !h.hasEnded {
		h.expireLease()
		deferred := h.deferredWhileHung
		h.deferredWhileHung = nil
		for _, fn := range deferred {
			h.runOnMachine(fn)
		}
	}
}

// restart ends all tasks on the machine, which is back after the given downtime in a new
// session. Half of the restarts lose the highest token that the worker had seen.
func (h *host) restart(downtime time.Duration) {
	w := h.w
	w.Log("%v %s restarts with %d tasks", w.now, h.id, len(h.tasks))
	h.recordTaskEnds()
	h.restarting, h.tasks, h.deferredMessages, h.deferredWhileHung, h.hung = true, nil, nil, nil, false
	h.reportNumber++
	losesToken := w.chance(0.5)
	w.after(downtime, func() {
		if h.hasEnded {
			return
		}
		h.restarting, h.reportInFlight, h.leaseStart = false, false, w.now
		h.session++
		if losesToken {
			h.token = 0
		}
		h.watchLease()
		h.report()
	})
}

// terminate ends the machine and all tasks on it.
func (h *host) terminate() {
	h.w.recordLostTasks(h)
	h.recordTaskEnds()
	h.hasEnded, h.endedAt = true, h.w.now
}

// leaseEnd returns the end of the lease by the machine's own clock.
func (h *host) leaseEnd() time.Duration {
	lease := h.w.cfg.Facts.Workers.LeaseS * (1 + h.drift)
	return h.leaseStart + time.Duration(lease*float64(time.Second))
}

func (h *host) watchLease() {
	h.w.after(max(h.leaseEnd()-h.w.now, 50*time.Millisecond), func() {
		h.runOnMachine(func() {
			h.expireLease()
			h.watchLease()
		})
	})
}

// expireLease ends the session and all of its tasks if the lease has run out.
func (h *host) expireLease() {
	if h.w.now < h.leaseEnd() {
		return
	}
	h.w.Log("%v %s lease ran out with %d tasks", h.w.now, h.id, len(h.tasks))
	h.session++
	h.recordTaskEnds()
	h.tasks = nil
	h.leaseStart = h.w.now
	h.reportNumber++
	h.reportInFlight = false
	h.reportSoon()
}

func (h *host) buildReport() wire.Report {
	h.seq++
	r := wire.Report{Machine: h.id, Addr: h.address(), Type: h.typ, Zone: h.zone, Spot: h.spot, Session: h.session, Seq: h.seq, Token: h.token}
	if h.terminationNotice {
		left := 5.0
		r.NoticeS = &left
	}
	for _, t := range h.tasks {
		r.Tasks = append(r.Tasks, wire.Task{ID: t.id, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason})
	}
	return r
}

// reportSoon schedules a report of a change, at least half a second after the previous report.
func (h *host) reportSoon() {
	h.w.after(max(h.lastReportAt+500*time.Millisecond-h.w.now, 0), func() { h.runOnMachine(h.report) })
}

// report sends a report, unless one is in flight, and schedules the next.
func (h *host) report() {
	if h.reportInFlight {
		return
	}
	w := h.w
	if h.noReports {
		w.after(100*time.Millisecond, func() { h.runOnMachine(h.report) })
		return
	}
	h.reportInFlight = true
	h.reportNumber++
	h.lastReportAt = w.now
	number, sent, rep := h.reportNumber, w.now, h.buildReport()
	next := time.Duration(w.cfg.Facts.Workers.ReportS * (0.75 + w.rng.Float64()/2) * float64(time.Second))
	w.after(next, func() { h.runOnMachine(h.report) })
	w.after(4*time.Second, func() { h.runOnMachine(func() { h.reportFailed(number) }) })
	h.copyReport(rep)
	if h.sendsNothing {
		w.after(time.Second, func() { h.runOnMachine(func() { h.reportFailed(number) }) })
		return
	}
	n := w.controllers[h.controllerIndex]
	send := func() {
		if n.down() {
			w.after(w.latency(), func() { h.deliver(func() { h.reportFailed(number) }) })
			return
		}
		if !n.cutFromWorkers && !w.faults.isolated.separates(n, h) {
			h.sendReport(n, rep, number, sent)
		}
	}
	w.after(w.latency(), func() {
		if h.partitioned {
			h.deferredMessages = append(h.deferredMessages, send)
			return
		}
		send()
	})
}

// copyReport draws whether a report arrives a second time: at a random controller some
// time later, or at every controller once a higher token is used.
func (h *host) copyReport(rep wire.Report) {
	w := h.w
	copyTo := func(x *member) func() {
		late := rep
		return func() {
			if !x.down() {
				h.tamperReport(true, &late)
				w.recordOldReport(h, x, &late)
				x.ask(func(req uint64) controller.Input { return controller.ReportRequest{Req: req, Report: late} }, func(controller.Answer) {})
			}
		}
	}
	if w.sporadicFault(0.02) || w.chance(w.faults.duplicateReports) { // from 2 s to well over a lease of 10 s later
		w.after(w.between(2*time.Second, 25*time.Second), copyTo(w.controllers[w.rng.IntN(len(w.controllers))]))
	}
	if w.chance(w.faults.keepReports) { // delivered to every controller once a higher token is used
		for _, x := range w.controllers {
			w.keptReports = append(w.keptReports, copyTo(x))
		}
	}
}

func (h *host) sendReport(n *member, rep wire.Report, number int, sent time.Duration) {
	w := h.w
	h.tamperReport(false, &rep)
	in := controller.ReportRequest{Report: rep}
	n.ask(func(req uint64) controller.Input { in.Req = req; return in }, func(a controller.Answer) {
		if w.Tamper.Answer != nil {
			w.Tamper.Answer(w, &in, &a)
		}
		w.after(w.latency(), func() { h.deliver(func() { h.reportAnswered(number, sent, a) }) })
	})
}

func (h *host) tamperReport(late bool, r *wire.Report) {
	if h.w.Tamper.Report != nil {
		h.w.Tamper.Report(h, late, r)
	}
}

// reportFailed makes the machine send its next report to the next controller, a second later.
func (h *host) reportFailed(number int) {
	if h.reportNumber != number || !h.reportInFlight {
		return
	}
	h.reportInFlight = false
	h.controllerIndex = (h.controllerIndex + 1) % len(h.w.controllers)
	h.w.after(time.Second, func() { h.runOnMachine(h.report) })
}

// reportAnswered handles the answer to a report: a redirect to the leader, or a renewal of
// the lease with commands. An answer with an outdated token has no effect.
func (h *host) reportAnswered(number int, sent time.Duration, a controller.Answer) {
	if h.reportNumber != number || !h.reportInFlight || h.w.now > sent+4*time.Second {
		return
	}
	if a.Status != http.StatusOK {
		if r, ok := a.Body.(wire.Redirect); ok && r.Leader != "" {
			i := slices.IndexFunc(h.w.controllers, func(n *member) bool { return n.name == r.Leader })
			if i >= 0 && i != h.controllerIndex {
				h.reportInFlight = false
				h.controllerIndex = i
				h.w.after(h.w.between(0, 500*time.Millisecond), func() { h.runOnMachine(h.report) })
				return
			}
		}
		h.reportFailed(number)
		return
	}
	h.reportInFlight = false
	body := a.Body.(wire.ReportAnswer)
	if body.Token < h.token {
		return
	}
	h.leaseStart = sent
	if body.Token > h.token {
		h.token = body.Token
		h.reportSoon()
	}
	h.execute(body.Commands)
}

// handleCommands handles a direct call with commands. It refuses one with an outdated token or
// of another session.
func (h *host) handleCommands(c wire.Commands) (int, wire.Report) {
	if c.Token < h.token || c.Session != h.session {
		return http.StatusConflict, h.buildReport()
	}
	if c.Token > h.token {
		h.token = c.Token
		h.reportSoon()
	}
	h.execute(c.Commands)
	return http.StatusOK, h.buildReport()
}

func (h *host) findTask(id string, attempt uint64) *task {
	for _, t := range h.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (h *host) execute(cs []wire.Command) {
	for _, c := range cs {
		t := h.findTask(c.Task, c.Attempt)
		switch c.Op {
		case wire.OpRun:
			if t == nil {
				h.startTask(c.Task, c.Attempt)
			}
		case wire.OpStop:
			if t != nil && t.state != wire.TaskExited {
				h.stopTask(t, c.GraceS)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				h.tasks = slices.DeleteFunc(h.tasks, func(o *task) bool { return o == t })
			}
		}
	}
}

// stopTask ends a task. A running task that can save its progress does so first if the grace
// period is long enough.
func (h *host) stopTask(t *task, graceS float64) {
	if t.job == nil || t.job.saved == nil || t.state != wire.TaskRunning || graceS < t.job.spec.SaveS {
		if t.state != wire.TaskSaving || graceS == 0 {
			h.taskStopped(t)
		}
		return
	}
	t.state = wire.TaskSaving
	h.reportSoon()
	h.afterIfPresent(t, time.Duration(t.job.spec.SaveS*float64(time.Second)), func() {
		_, n, _ := wire.SplitTaskID(t.id)
		t.job.saved[n] += h.w.now - t.started
		h.taskStopped(t)
	})
}

// taskStopped ends a task because of a stop command.
func (h *host) taskStopped(t *task) {
	h.exit(t, wire.ExitReasonStopped)
	if h.w.onStopped != nil {
		h.w.onStopped(t)
	}
}

func (h *host) exit(t *task, reason string) {
	if t.onMachine() {
		h.recordTaskEnd(t)
	}
	t.state, t.exitReason = wire.TaskExited, reason
	h.reportSoon()
}

// startTask handles a run command: the attempt is refused, or it fetches its image and then runs.
func (h *host) startTask(id string, attempt uint64) {
	j := h.w.users.jobOf(id)
	t := &task{id: id, job: j, attempt: attempt, state: wire.TaskFetching}
	h.tasks = append(h.tasks, t)
	if j == nil {
		h.exit(t, wire.ExitReasonUnknownJob)
		return
	}
	free := h.capacity()
	reserve := func(s *wire.Job) { free.CPUs, free.GPUs = free.CPUs-s.CPUs, free.GPUs-s.GPUs }
	reserve(&j.spec)
	for _, o := range h.tasks {
		if o == t || o.state == wire.TaskExited {
			continue
		}
		if o.id == id {
			h.exit(t, wire.ExitReasonBusy)
			return
		}
		reserve(&o.job.spec)
	}
	if min(free.CPUs, free.GPUs) < -1e-6 {
		h.exit(t, wire.ExitReasonNoCapacity)
		return
	}
	fetch := 10 * time.Millisecond
	if !h.images[j.spec.Image] {
		h.w.recordConcurrentFetches(h.zone)
		if h.w.onFetch != nil {
			h.w.onFetch()
		}
		fetch = h.w.between(time.Second, 4*time.Second)
	}
	h.afterIfPresent(t, fetch, func() { h.start(t, j) })
}

// isFetching reports whether the machine is fetching an image.
func (h *host) isFetching() bool {
	return slices.ContainsFunc(h.tasks, func(t *task) bool {
		return t.state == wire.TaskFetching && t.job != nil && !h.images[t.job.spec.Image]
	})
}

func (h *host) capacity() wire.MachineType {
	types := h.w.shape.types()
	return types[slices.IndexFunc(types, func(t wire.MachineType) bool { return t.Name == h.typ })]
}

// afterIfPresent schedules fn, which runs only if the task has not exited and is still on the machine.
func (h *host) afterIfPresent(t *task, d time.Duration, fn func()) {
	h.w.after(d, func() {
		h.runOnMachine(func() {
			if t.state != wire.TaskExited && h.findTask(t.id, t.attempt) == t {
				fn()
			}
		})
	})
}

// start starts a task whose image has been fetched.
func (h *host) start(t *task, j *simJob) {
	h.images[j.spec.Image] = true
	h.w.checkStart(h, t, j)
	t.state, t.started = wire.TaskRunning, h.w.now
	if h.w.onStart != nil {
		h.w.onStart(h, t)
	}
	h.w.recordEvent(history.Event{Kind: history.Started, Task: t.id, Attempt: t.attempt, Machine: h.id})
	h.reportSoon()
	_, n, _ := wire.SplitTaskID(t.id)
	switch {
	case h.faulty || j.alwaysFails:
		h.afterIfPresent(t, time.Second, func() { h.exit(t, wire.ExitReasonError) })
	case j.spec.Kind == wire.KindArray:
		run := max(j.runTime-j.saved[n], 0)
		if j.done[n] {
			run = 0
		}
		h.afterIfPresent(t, run, func() {
			if t.state != wire.TaskSaving { // a task that is being saved ends when that is complete
				h.finish(t, j, n)
			}
		})
	}
}

// finish ends a task of an array job that has done its work.
func (h *host) finish(t *task, j *simJob, n int) {
	j.done[n] = true
	h.exit(t, wire.ExitReasonDone)
	h.w.recordTaskEndCoverage(j)
	if j.tasksLeft() == 0 && !j.lastTaskEnded {
		j.lastTaskEnded = true
		h.w.users.jobEnded(j)
	}
}
