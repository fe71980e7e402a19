package sim

import (
	"fmt"
	"slices"
	"time"

	"pumicefront/controller"
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// running calls fn for every task that is on a machine now. One whose machine
// hangs beyond its lease counts as gone: it is killed before it goes on.
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

// checkStart checks the rules on a task's start: ran_twice, quota, wrong_place
// and ran_cancelled.
func (w *World) checkStart(h *host, t *task, j *simJob) {
	w.Log("%v %s starts %s attempt %d", w.now, h.id, t.id, t.attempt)
	j.begun = true
	cores, gpus := j.spec.CPUs, j.spec.GPUs
	var others []string
	zones := map[string]int{h.zone: 1}
	w.running(func(oh *host, o *task) {
		oj := o.job
		if oj == j && o.id == t.id {
			w.broken("ran_twice", "%s attempt %d starts on %s, attempt %d is on %s", t.id, t.attempt, h.id, o.attempt, oh.id)
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
		w.broken("quota", "team %s uses %v of %v cores, %v of %v GPUs with %s on %s beside %v",
			team.Name, cores, team.CPUsMax, gpus, team.GPUsMax, t.id, h.id, others)
	}
	for _, p := range j.needs {
		if p.left() > 0 || p.cancelTold {
			w.broken("too_early", "%s starts, %s that it needs has %d tasks left", t.id, p.spec.ID, p.left())
		}
	}
	w.checkCells(h, t, j)
	w.checkPlace(h, t, j, zones)
	if j.cancelTold && w.now > j.cancelledAt+w.cancelTime() {
		w.broken("ran_cancelled", "%s starts on %s", t.id, h.id)
	}
}

// checkAuthority checks that nobody acts for the controllers once another one has
// begun to. An answer that is only handed on is as old as the leader's own, which
// was checked when it was given.
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
		w.broken("authority", "%s acts with token %d after %d", n.name, token, w.topToken)
	}
	if token > w.topToken {
		w.noteLeaderChange(n)
		for _, fn := range w.keptReports { // a new leader has begun, or ours has raised its token
			w.after(w.latency(), fn)
		}
		w.keptReports = nil
	}
	w.topToken = token
}

// checkRuns checks that nobody has a task run whose job was cancelled so long ago that
// the run could not be undone in time.
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
			w.broken("ran_cancelled", "%s is told to run, cancelled at %v", c.Task, j.cancelledAt)
		}
	}
}

// waitsAtMost is how long a job may wait, once all faults are over, while a machine
// that fits has room and its team's limit allows.
const waitsAtMost = 90 * time.Second

// watchWaiting looks, from the end of the faults on, for jobs that are left waiting.
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
				w.broken("kept_waiting", "%s waits since %v beside room", j.spec.ID, at)
			}
		}
		w.after(every, look)
	}
	look()
}

// waitsBesideRoom reports whether a task of a job that may go anywhere in its zone and on
// its types is on no machine while one has room for it.
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

// waits reports whether a job that this one needs isn't called done yet.
func (j *simJob) waits() bool {
	return slices.ContainsFunc(j.needs, func(p *simJob) bool { return !p.doneTold })
}

// checkServed checks that of every class and of every team at least half has begun.
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
			w.broken("unserved", "of %d jobs of %s %d have begun", n, group, served[group])
		}
	}
}

// forgottenAfter is how long no question about a job may go unanswered once all
// faults are over; beginWithin is when a class's largest jobs must have begun.
const (
	forgottenAfter = 75 * time.Second
	beginWithin    = 4 * time.Minute
)

// checkKnown checks that an accepted job, a finished one too, is still known.
func (w *World) checkKnown(j *simJob) {
	if w.faultsEnd > 0 && j.accepted && !j.mayBeCancelled() && w.now-max(j.known, w.faultsEnd) > forgottenAfter {
		w.broken("forgotten", "nothing is to be learnt of %s since %v", j.spec.ID, j.known)
	}
}

// checkBegins checks that one of its class's largest jobs begins in time.
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
			w.broken("starved", "%s of %d tasks has not begun", j.spec.ID, j.spec.Tasks)
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

// checkCancelled checks, once a cancellation has had its time, that nothing of
// the job is left.
func (w *World) checkCancelled(j *simJob) {
	w.after(w.cancelTime()+time.Millisecond, func() {
		w.everywhere(func(h *host, t *task) {
			if t.job == j {
				w.broken("ran_cancelled", "%s is still on %s", t.id, h.id)
			}
		})
	})
}

// checkState checks what a user is told about a job, in answer to a request that
// was sent after before: answers to earlier ones may arrive out of order.
func (w *World) checkState(j *simJob, before told, s wire.JobState) {
	w.note(history.Event{Kind: history.Answered, Job: j.spec.ID, Asked: before.at, State: s.State,
		Final: s.State == wire.StateDone || s.State == wire.StateCancelled})
	switch {
	case before.done && s.State != wire.StateDone, before.cancelled && s.State != wire.StateCancelled:
		w.broken("went_back", "%s is called %s", j.spec.ID, s.State)
	case before.orphaned && (s.State == wire.StateQueued || s.State == wire.StateRunning):
		w.broken("orphaned", "%s is called %s, one that it needs is cancelled for long", j.spec.ID, s.State)
	case s.State == wire.StateCancelled && !j.mayBeCancelled():
		w.broken("went_back", "%s is called cancelled and nobody asked for it", j.spec.ID)
	case s.State == wire.StateDone && j.left() > 0:
		w.broken("not_done", "%s is called done with %d tasks left", j.spec.ID, j.left())
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

// checkEnds checks that every accepted array that nobody cancelled is done, and
// that something has run at all.
func (w *World) checkEnds() {
	ran := false
	for _, j := range w.users.list {
		for _, d := range j.done {
			ran = ran || d
		}
		if j.accepted && !j.mayBeCancelled() && j.spec.Kind == wire.KindArray && !j.doneTold {
			w.broken("unfinished", "%s is not called done, %d of %d tasks left: %+v", j.spec.ID, j.left(), j.spec.Tasks, j.spec)
		}
	}
	if !ran {
		w.broken("nothing_ran", "no task has finished")
	}
}
