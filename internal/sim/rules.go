package sim

import (
	"fmt"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// forEachRunningTask calls fn for every task that runs or saves on a machine now. Tasks of a
// machine that hangs beyond its lease don't count: the worker kills them before the
// machine resumes.
func (w *World) forEachRunningTask(fn func(h *host, t *task)) {
	for _, h := range w.hosts {
		if h.hasEnded || h.hung && w.now >= h.leaseEnd() {
			continue
		}
		for _, t := range h.tasks {
			if t.onMachine() {
				fn(h, t)
			}
		}
	}
}

// checkStart checks the rules on a task's start: ran_twice, quota, too_early,
// wrong_place and ran_cancelled, and in a federation also two_cells
// and the quota over all cells.
func (w *World) checkStart(h *host, t *task, j *simJob) {
	w.Log("%v %s starts %s attempt %d", w.now, h.id, t.id, t.attempt)
	j.hasStarted = true
	cores, gpus := j.spec.CPUs, j.spec.GPUs
	var others []string
	zones := map[string]int{h.zone: 1}
	w.forEachRunningTask(func(otherHost *host, other *task) {
		otherJob := other.job
		if otherJob == j && other.id == t.id {
			w.recordViolation("ran_twice", "%s attempt %d starts on %s while attempt %d runs on %s", t.id, t.attempt, h.id, other.attempt, otherHost.id)
		}
		if otherJob.spec.Team == j.spec.Team {
			cores, gpus = cores+otherJob.spec.CPUs, gpus+otherJob.spec.GPUs
			others = append(others, fmt.Sprintf("%s attempt %d on %s", other.id, other.attempt, otherHost.id))
		}
		if otherJob == j {
			zones[otherHost.zone]++
		}
	})
	beyond := func(used, limit float64) bool { return limit > 0 && used > limit+1e-6 }
	if team := w.team(j.spec.Team); beyond(cores, team.CPUsMax) || beyond(gpus, team.GPUsMax) {
		w.recordViolation("quota", "team %s uses %v of %v cores and %v of %v GPUs with %s on %s and %v",
			team.Name, cores, team.CPUsMax, gpus, team.GPUsMax, t.id, h.id, others)
	}
	for _, p := range j.needs {
		if p.tasksLeft() > 0 || p.reportedCancelled {
			w.recordViolation("too_early", "%s starts although %s, which it needs, is cancelled or has tasks left: %d", t.id, p.spec.ID, p.tasksLeft())
		}
	}
	w.checkCrossCellRules(h, t, j)
	w.checkPlace(h, t, j, zones)
	if j.reportedCancelled && w.now > j.cancelledAt+w.cancelTime() {
		w.recordViolation("ran_cancelled", "%s starts on %s after the time for its cancellation", t.id, h.id)
	}
}

// checkAuthority checks that no controller sends commands or answers reports with a
// fencing token lower than one already used. A controller that only forwards the leader's
// answer is exempt: that answer was checked when the leader gave it.
func (w *World) checkAuthority(n *member, o controller.Output) {
	token := w.highestToken
	switch o := o.(type) {
	case controller.WorkerCall:
		token = o.Commands.Token
	case controller.Answer:
		if _, asked := n.currentInput.(controller.ReportRequest); !asked {
			return
		}
		if body, ok := o.Body.(wire.ReportAnswer); ok {
			token = body.Token
			w.recordRenewal(n)
		}
	}
	if token < w.highestToken {
		w.recordViolation("authority", "%s acts with token %d, but token %d has been used already", n.name, token, w.highestToken)
	}
	if token > w.highestToken {
		w.recordLeaderChange(n)
		for _, fn := range w.keptReports { // there is a new leader, or the leader has raised its token
			w.after(w.latency(), fn)
		}
		w.keptReports = nil
	}
	w.highestToken = token
}

// checkRuns checks that no run command for a cancelled job is sent less than a lease before the
// end of cancelTime: if the machine then became unreachable, the task could run until its lease
// ends, which is after cancelTime has passed.
func (w *World) checkRuns(o controller.Output) {
	var commands []wire.Command
	switch o := o.(type) {
	case controller.WorkerCall:
		commands = o.Commands.Commands
	case controller.Answer:
		if body, ok := o.Body.(wire.ReportAnswer); ok {
			commands = body.Commands
		}
	}
	late := w.cancelTime() - w.leaseTime()
	for _, c := range commands {
		if j := w.users.jobOf(c.Task); c.Op == wire.OpRun && j != nil && j.reportedCancelled && w.now > j.cancelledAt+late {
			w.recordViolation("ran_cancelled", "run command for %s, whose job was reported cancelled at %v", c.Task, j.cancelledAt)
		}
	}
}

// maxWaitDespiteCapacity is how long a job may wait, once all faults have ended, while a
// suitable machine has room for one of its tasks and the team's quota allows it.
const maxWaitDespiteCapacity = 90 * time.Second

// checkWaitingJobs checks at regular intervals, starting now, that no job waits longer than
// maxWaitDespiteCapacity despite free capacity. Callers start it once the faults have ended.
func (w *World) checkWaitingJobs(interval time.Duration) {
	since := map[*simJob]time.Duration{}
	var check func()
	check = func() {
		for _, j := range w.users.jobsBySubmission {
			if !w.waitsDespiteCapacity(j) {
				delete(since, j)
			} else if at, ok := since[j]; !ok {
				since[j] = w.now
			} else if w.now-at > maxWaitDespiteCapacity {
				w.recordViolation("kept_waiting", "%s has waited since %v despite free capacity", j.spec.ID, at)
			}
		}
		w.after(interval, check)
	}
	check()
}

// waitsDespiteCapacity reports whether a job has a task that is on no machine although a
// healthy machine has room for it and the team's quota allows it. Jobs whose placement
// depends on their other tasks (OneZone, Spread) are left out.
func (w *World) waitsDespiteCapacity(j *simJob) bool {
	if !j.accepted || j.mayBeCancelled() || j.waitsForNeededJobs() || j.spec.OneZone || j.spec.Spread || j.tasksLeft() == 0 && j.spec.Kind == wire.KindArray {
		return false
	}
	team, s := w.team(j.spec.Team), j.spec
	cores, gpus, placed := s.CPUs, s.GPUs, 0
	hasRoom := false
	for _, h := range w.hosts {
		free := h.capacity()
		for _, t := range h.tasks {
			if h.hasEnded || t.state == wire.TaskExited || t.job == nil {
				continue
			}
			free.CPUs, free.GPUs = free.CPUs-t.job.spec.CPUs, free.GPUs-t.job.spec.GPUs
			if t.job.spec.Team == s.Team {
				cores, gpus = cores+t.job.spec.CPUs, gpus+t.job.spec.GPUs
			}
			if t.job == j {
				placed++
			}
		}
		fits := (len(s.Types) == 0 || s.Types[0] == h.typ) && (s.Zone == "" || s.Zone == h.zone) && (s.Spot || !h.spot)
		healthy := !h.hasEnded && !h.restarting && !h.partitioned && !h.hung && !h.receivesNothing && !h.sendsNothing && !h.terminationNotice && !h.faulty && h.bootedAt < w.now
		hasRoom = hasRoom || fits && healthy && free.CPUs >= s.CPUs && free.GPUs >= s.GPUs
	}
	within := func(used, limit float64) bool { return limit == 0 || used <= limit }
	left := s.Tasks
	if s.Kind == wire.KindArray {
		left = j.tasksLeft()
	}
	return hasRoom && placed < left && within(cores, team.CPUsMax) && within(gpus, team.GPUsMax)
}

// waitsForNeededJobs reports whether a job that this one needs has not been reported done yet.
func (j *simJob) waitsForNeededJobs() bool {
	return slices.ContainsFunc(j.needs, func(p *simJob) bool { return !p.reportedDone })
}

// checkServed checks that at least half of the jobs of every class and of every team have
// started. Jobs that may be cancelled don't count.
func (w *World) checkServed() {
	all, started := map[string]int{}, map[string]int{}
	for _, j := range w.users.jobsBySubmission {
		if !j.accepted || j.mayBeCancelled() {
			continue
		}
		for _, group := range []string{"class " + j.spec.Class, "team " + j.spec.Team} {
			all[group]++
			if j.hasStarted {
				started[group]++
			}
		}
	}
	for group, n := range all {
		if 2*started[group] < n {
			w.recordViolation("unserved", "of %d jobs of %s only %d have started", n, group, started[group])
		}
	}
}

const (
	// maxTimeUnanswered is the longest time without an answer about a job once all faults
	// have ended.
	maxTimeUnanswered = 75 * time.Second
	// maxTimeToStart is the time within which the largest jobs of a class must start.
	maxTimeToStart = 4 * time.Minute
)

// checkKnown checks that the controllers still answer queries about an accepted job,
// whether it has finished or not.
func (w *World) checkKnown(j *simJob) {
	if w.faultsEnd > 0 && j.accepted && !j.mayBeCancelled() && w.now-max(j.lastAnswered, w.faultsEnd) > maxTimeUnanswered {
		w.recordViolation("forgotten", "no query about %s has been answered since %v", j.spec.ID, j.lastAnswered)
	}
}

// checkStartsInTime checks that a job starts within maxTimeToStart if it is one of the
// largest of its class, so that small jobs can't starve it. Jobs that need others are left
// out.
func (w *World) checkStartsInTime(j *simJob) {
	largest := 0
	for _, o := range w.users.jobsBySubmission {
		if o.spec.Class == j.spec.Class {
			largest = max(largest, o.spec.Tasks)
		}
	}
	if j.spec.Tasks < largest || len(j.needs) > 0 {
		return
	}
	w.after(maxTimeToStart, func() {
		if !j.hasStarted && !j.mayBeCancelled() {
			w.recordViolation("starved", "%s with %d tasks has not started", j.spec.ID, j.spec.Tasks)
		}
	})
}

func (w *World) checkPlace(h *host, t *task, j *simJob, zones map[string]int) {
	s := j.spec
	ok := (len(s.Types) == 0 || s.Types[0] == h.typ) && (s.Zone == "" || s.Zone == h.zone) && (s.Spot || !h.spot)
	ok = ok && (!s.OneZone || len(zones) == 1) && (!s.Spread || zones[h.zone] <= (s.Tasks+1)/2)
	if !ok {
		w.recordViolation("wrong_place", "%s on %s %s in %s spot %v, zones %v", t.id, h.id, h.typ, h.zone, h.spot, zones)
	}
}

// cancelTime returns the time within which all tasks of a job must have ended after its cancellation was
// reported to its user.
func (w *World) cancelTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.CancelS * float64(time.Second))
}

// checkCancelled checks that no task of the job is left on any machine once the time for
// its cancellation has passed.
func (w *World) checkCancelled(j *simJob) {
	w.after(w.cancelTime()+time.Millisecond, func() {
		w.forEachTaskInAllCells(func(h *host, t *task) {
			if t.job == j {
				w.recordViolation("ran_cancelled", "%s is still on %s after the time for its cancellation", t.id, h.id)
			}
		})
	})
}

// checkState checks the state of a job in an answer to a user. known is what users knew
// when the request was sent: answers may arrive out of order, so this one may be older
// than others that have arrived since.
func (w *World) checkState(j *simJob, known knownState, s wire.JobState) {
	w.recordEvent(history.Event{Kind: history.Answered, Job: j.spec.ID, RequestedAt: known.at, State: s.State,
		Final: s.State == wire.StateDone || s.State == wire.StateCancelled})
	switch {
	case known.done && s.State != wire.StateDone, known.cancelled && s.State != wire.StateCancelled:
		w.recordViolation("went_back", "%s is reported %s after a different final state", j.spec.ID, s.State)
	case known.orphaned && (s.State == wire.StateQueued || s.State == wire.StateRunning):
		w.recordViolation("orphaned", "%s is reported %s long after a job that it needs was cancelled", j.spec.ID, s.State)
	case s.State == wire.StateCancelled && !j.mayBeCancelled():
		w.recordViolation("went_back", "%s is reported cancelled without a request", j.spec.ID)
	case s.State == wire.StateDone && j.tasksLeft() > 0:
		w.recordViolation("not_done", "%s is reported done with %d tasks left", j.spec.ID, j.tasksLeft())
	}
	if s.State == wire.StateDone {
		j.reportedDone = true
	}
	if s.State == wire.StateCancelled && !j.reportedCancelled {
		if !j.cancelRequested {
			w.coverage["a job cancelled with one that it needs"]++
		}
		j.reportedCancelled, j.cancelledAt = true, w.now
		w.recordCancellation(j)
		w.checkCancelled(j)
	}
}

// checkEnds checks that every accepted array job has been reported done, unless it may be
// cancelled, and that at least one task has finished in the run.
func (w *World) checkEnds() {
	ran := false
	for _, j := range w.users.jobsBySubmission {
		for _, d := range j.done {
			ran = ran || d
		}
		if j.accepted && !j.mayBeCancelled() && j.spec.Kind == wire.KindArray && !j.reportedDone {
			w.recordViolation("unfinished", "%s is not reported done, %d of %d tasks left: %+v", j.spec.ID, j.tasksLeft(), j.spec.Tasks, j.spec)
		}
	}
	if !ran {
		w.recordViolation("nothing_ran", "no task has finished")
	}
}
