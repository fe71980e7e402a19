package sim

import (
	"fmt"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// running calls fn for every task that runs or saves on a machine now. Tasks of a
// machine that hangs beyond its lease don't count: the worker kills them before the
// machine resumes.
func (w *World) running(fn func(h *host, t *task)) {
	for _, h := range w.hosts {
		if h.gone || h.hung && w.now >= h.leaseEnd() {
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
// wrong_place and ran_cancelled, and in a cluster those of the cells.
func (w *World) checkStart(h *host, t *task, j *simJob) {
	w.Log("%v %s starts %s attempt %d", w.now, h.id, t.id, t.attempt)
	j.begun = true
	cores, gpus := j.spec.CPUs, j.spec.GPUs
	var others []string
	zones := map[string]int{h.zone: 1}
	w.running(func(oh *host, o *task) {
		oj := o.job
		if oj == j && o.id == t.id {
			w.broken("ran_twice", "%s attempt %d starts on %s while attempt %d runs on %s", t.id, t.attempt, h.id, o.attempt, oh.id)
		}
		if oj.spec.Team == j.spec.Team {
			cores, gpus = cores+oj.spec.CPUs, gpus+oj.spec.GPUs
			others = append(others, fmt.Sprintf("%s attempt %d on %s", o.id, o.attempt, oh.id))
		}
		if oj == j {
			zones[oh.zone]++
		}
	})
	beyond := func(used, limit float64) bool { return limit > 0 && used > limit+1e-6 }
	if team := w.team(j.spec.Team); beyond(cores, team.CPUsMax) || beyond(gpus, team.GPUsMax) {
		w.broken("quota", "team %s uses %v of %v cores and %v of %v GPUs with %s on %s and %v",
			team.Name, cores, team.CPUsMax, gpus, team.GPUsMax, t.id, h.id, others)
	}
	for _, p := range j.needs {
		if p.left() > 0 || p.cancelTold {
			w.broken("too_early", "%s starts although %s, which it needs, is cancelled or has tasks left: %d", t.id, p.spec.ID, p.left())
		}
	}
	w.checkCells(h, t, j)
	w.checkPlace(h, t, j, zones)
	if j.cancelTold && w.now > j.cancelledAt+w.cancelTime() {
		w.broken("ran_cancelled", "%s starts on %s after the time for its cancellation", t.id, h.id)
	}
}

// checkAuthority checks that no controller sends commands or answers reports with a
// fencing token lower than one already used. A controller that only forwards the leader's
// answer is exempt: that answer was checked when the leader gave it.
func (w *World) checkAuthority(n *node, o controller.Output) {
	token := w.topToken
	switch o := o.(type) {
	case controller.WorkerCall:
		token = o.Commands.Token
	case controller.Answer:
		if _, asked := n.cause.(controller.ReportRequest); !asked {
			return
		}
		if body, ok := o.Body.(wire.ReportAnswer); ok {
			token = body.Token
			w.noteRenewal(n)
		}
	}
	if token < w.topToken {
		w.broken("authority", "%s acts with token %d, but token %d has been used already", n.name, token, w.topToken)
	}
	if token > w.topToken {
		w.noteLeaderChange(n)
		for _, fn := range w.keptReports { // there is a new leader, or the leader has raised its token
			w.after(w.latency(), fn)
		}
		w.keptReports = nil
	}
	w.topToken = token
}

// checkRuns checks that no run command is sent for a cancelled job so late that, if the
// machine then became unreachable, its lease would end after the time for the cancellation.
func (w *World) checkRuns(o controller.Output) {
	var cs []wire.Command
	switch o := o.(type) {
	case controller.WorkerCall:
		cs = o.Commands.Commands
	case controller.Answer:
		if body, ok := o.Body.(wire.ReportAnswer); ok {
			cs = body.Commands
		}
	}
	late := w.cancelTime() - w.leaseTime()
	for _, c := range cs {
		if j := w.users.jobOf(c.Task); c.Op == wire.OpRun && j != nil && j.cancelTold && w.now > j.cancelledAt+late {
			w.broken("ran_cancelled", "run command for %s, whose job was reported cancelled at %v", c.Task, j.cancelledAt)
		}
	}
}

// waitsAtMost is how long a job may wait, once all faults have ended, while a suitable
// machine has room for one of its tasks and the team's quota allows it.
const waitsAtMost = 90 * time.Second

// watchWaiting checks at regular intervals, starting now, that no job waits longer than
// waitsAtMost despite free capacity. It is called when the faults end.
func (w *World) watchWaiting(every time.Duration) {
	since := map[*simJob]time.Duration{}
	var look func()
	look = func() {
		for _, j := range w.users.list {
			if !w.waitsBesideRoom(j) {
				delete(since, j)
			} else if at, ok := since[j]; !ok {
				since[j] = w.now
			} else if w.now-at > waitsAtMost {
				w.broken("kept_waiting", "%s has waited since %v despite free capacity", j.spec.ID, at)
			}
		}
		w.after(every, look)
	}
	look()
}

// waitsBesideRoom reports whether a job has a task that is on no machine although a
// healthy machine has room for it and the team's quota allows it. Jobs whose placement
// depends on their other tasks (OneZone, Spread) are left out.
func (w *World) waitsBesideRoom(j *simJob) bool {
	if !j.accepted || j.mayBeCancelled() || j.waits() || j.spec.OneZone || j.spec.Spread || j.left() == 0 && j.spec.Kind == wire.KindArray {
		return false
	}
	team, s := w.team(j.spec.Team), j.spec
	cores, gpus, there := s.CPUs, s.GPUs, 0
	room := false
	for _, h := range w.hosts {
		size := h.size()
		for _, t := range h.tasks {
			if h.gone || t.state == wire.TaskExited || t.job == nil {
				continue
			}
			size.CPUs, size.GPUs = size.CPUs-t.job.spec.CPUs, size.GPUs-t.job.spec.GPUs
			if t.job.spec.Team == s.Team {
				cores, gpus = cores+t.job.spec.CPUs, gpus+t.job.spec.GPUs
			}
			if t.job == j {
				there++
			}
		}
		fits := (len(s.Types) == 0 || s.Types[0] == h.typ) && (s.Zone == "" || s.Zone == h.zone) && (s.Spot || !h.spot)
		well := !h.gone && !h.off && !h.cut && !h.hung && !h.receivesNothing && !h.sendsNothing && !h.notice && !h.faulty && h.up < w.now
		room = room || fits && well && size.CPUs >= s.CPUs && size.GPUs >= s.GPUs
	}
	within := func(used, limit float64) bool { return limit == 0 || used <= limit }
	left := s.Tasks
	if s.Kind == wire.KindArray {
		left = j.left()
	}
	return room && there < left && within(cores, team.CPUsMax) && within(gpus, team.GPUsMax)
}

// waits reports whether a job that this one needs has not been reported done yet.
func (j *simJob) waits() bool {
	return slices.ContainsFunc(j.needs, func(p *simJob) bool { return !p.doneTold })
}

// checkServed checks that at least half of the jobs of every class and of every team have
// started. Jobs that may be cancelled don't count.
func (w *World) checkServed() {
	all, served := map[string]int{}, map[string]int{}
	for _, j := range w.users.list {
		if !j.accepted || j.mayBeCancelled() {
			continue
		}
		for _, group := range []string{"class " + j.spec.Class, "team " + j.spec.Team} {
			all[group]++
			if j.begun {
				served[group]++
			}
		}
	}
	for group, n := range all {
		if 2*served[group] < n {
			w.broken("unserved", "of %d jobs of %s only %d have started", n, group, served[group])
		}
	}
}

const (
	// forgottenAfter is the longest time without an answer about a job once all faults
	// have ended.
	forgottenAfter = 75 * time.Second
	// beginWithin is the time within which the largest jobs of a class must start.
	beginWithin = 4 * time.Minute
)

// checkKnown checks that the controllers still answer queries about an accepted job,
// whether it has finished or not.
func (w *World) checkKnown(j *simJob) {
	if w.faultsEnd > 0 && j.accepted && !j.mayBeCancelled() && w.now-max(j.known, w.faultsEnd) > forgottenAfter {
		w.broken("forgotten", "no query about %s has been answered since %v", j.spec.ID, j.known)
	}
}

// checkBegins checks that a job starts within beginWithin if it is one of the largest of
// its class, so that small jobs can't starve it. Jobs that need others are left out.
func (w *World) checkBegins(j *simJob) {
	largest := 0
	for _, o := range w.users.list {
		if o.spec.Class == j.spec.Class {
			largest = max(largest, o.spec.Tasks)
		}
	}
	if j.spec.Tasks < largest || len(j.needs) > 0 {
		return
	}
	w.after(beginWithin, func() {
		if !j.begun && !j.mayBeCancelled() {
			w.broken("starved", "%s with %d tasks has not started", j.spec.ID, j.spec.Tasks)
		}
	})
}

func (w *World) checkPlace(h *host, t *task, j *simJob, zones map[string]int) {
	s := j.spec
	ok := (len(s.Types) == 0 || s.Types[0] == h.typ) && (s.Zone == "" || s.Zone == h.zone) && (s.Spot || !h.spot)
	ok = ok && (!s.OneZone || len(zones) == 1) && (!s.Spread || zones[h.zone] <= (s.Tasks+1)/2)
	if !ok {
		w.broken("wrong_place", "%s on %s %s in %s spot %v, zones %v", t.id, h.id, h.typ, h.zone, h.spot, zones)
	}
}

func (w *World) cancelTime() time.Duration {
	return time.Duration(w.cfg.Facts.Workers.CancelS * float64(time.Second))
}

// checkCancelled checks that no task of the job is left on any machine once the time for
// its cancellation has passed.
func (w *World) checkCancelled(j *simJob) {
	w.after(w.cancelTime()+time.Millisecond, func() {
		w.everywhere(func(h *host, t *task) {
			if t.job == j {
				w.broken("ran_cancelled", "%s is still on %s after the time for its cancellation", t.id, h.id)
			}
		})
	})
}

// checkState checks the state of a job in an answer to a user. before is what users knew
// when the request was sent: answers may arrive out of order, so this one may be older
// than others that have arrived since.
func (w *World) checkState(j *simJob, before told, s wire.JobState) {
	w.note(history.Event{Kind: history.Answered, Job: j.spec.ID, Asked: before.at, State: s.State,
		Final: s.State == wire.StateDone || s.State == wire.StateCancelled})
	switch {
	case before.done && s.State != wire.StateDone, before.cancelled && s.State != wire.StateCancelled:
		w.broken("went_back", "%s is reported %s after a different final state", j.spec.ID, s.State)
	case before.orphaned && (s.State == wire.StateQueued || s.State == wire.StateRunning):
		w.broken("orphaned", "%s is reported %s long after a job that it needs was cancelled", j.spec.ID, s.State)
	case s.State == wire.StateCancelled && !j.mayBeCancelled():
		w.broken("went_back", "%s is reported cancelled without a request", j.spec.ID)
	case s.State == wire.StateDone && j.left() > 0:
		w.broken("not_done", "%s is reported done with %d tasks left", j.spec.ID, j.left())
	}
	if s.State == wire.StateDone {
		j.doneTold = true
	}
	if s.State == wire.StateCancelled && !j.cancelTold {
		if !j.askedCancel {
			w.coverage["a job cancelled with one that it needs"]++
		}
		j.cancelTold, j.cancelledAt = true, w.now
		w.noteCancellation(j)
		w.checkCancelled(j)
	}
}

// checkEnds checks that every accepted array job has been reported done, unless it may be
// cancelled, and that at least one task has finished in the run.
func (w *World) checkEnds() {
	ran := false
	for _, j := range w.users.list {
		for _, d := range j.done {
			ran = ran || d
		}
		if j.accepted && !j.mayBeCancelled() && j.spec.Kind == wire.KindArray && !j.doneTold {
			w.broken("unfinished", "%s is not reported done, %d of %d tasks left: %+v", j.spec.ID, j.left(), j.spec.Tasks, j.spec)
		}
	}
	if !ran {
		w.broken("nothing_ran", "no task has finished")
	}
}
