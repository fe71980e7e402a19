package sim

import (
	"time"

	"pumicefront/controller"
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
	zones := map[string]int{h.zone: 1}
	w.running(func(oh *host, o *task) {
		oj := o.job
		if oj == j && o.id == t.id {
			w.broken("ran_twice", "%s attempt %d starts on %s, attempt %d is on %s", t.id, t.attempt, h.id, o.attempt, oh.id)
		}
		if oj.spec.Team == j.spec.Team {
			cores, gpus = cores+oj.spec.CPUs, gpus+oj.spec.GPUs
		}
		if oj == j {
			zones[oh.zone]++
		}
	})
	beyond := func(used, limit float64) bool { return limit > 0 && used > limit+1e-6 }
	if team := w.team(j.spec.Team); beyond(cores, team.CPUsMax) || beyond(gpus, team.GPUsMax) {
		w.broken("quota", "team %s uses %v of %v cores, %v of %v GPUs", team.Name, cores, team.CPUsMax, gpus, team.GPUsMax)
	}
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
		}
	}
	if token < w.topToken {
		w.broken("authority", "%s acts with token %d after %d", n.name, token, w.topToken)
	}
	w.topToken = token
}

// forgottenAfter is how long no question about a job may go unanswered once all
// troubles are over; beginWithin is when a class's largest jobs must have begun.
const (
	forgottenAfter = 75 * time.Second
	beginWithin    = 4 * time.Minute
)

// checkKnown checks that an accepted job, a finished one too, is still known.
func (w *World) checkKnown(j *simJob) {
	if w.calmFrom > 0 && j.accepted && !j.askedCancel && w.now-max(j.known, w.calmFrom) > forgottenAfter {
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
	if j.spec.Tasks < largest {
		return
	}
	w.after(beginWithin, func() {
		if !j.begun && !j.askedCancel {
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
		w.running(func(h *host, t *task) {
			if t.job == j {
				w.broken("ran_cancelled", "%s is still on %s", t.id, h.id)
			}
		})
	})
}

// checkState checks what a user is told about a job, in answer to a request that
// was sent after before: answers to earlier ones may arrive out of order.
func (w *World) checkState(j *simJob, before told, s wire.JobState) {
	switch {
	case before.done && s.State != wire.StateDone, before.cancelled && s.State != wire.StateCancelled:
		w.broken("went_back", "%s is called %s", j.spec.ID, s.State)
	case s.State == wire.StateCancelled && !j.askedCancel:
		w.broken("went_back", "%s is called cancelled and nobody asked for it", j.spec.ID)
	case s.State == wire.StateDone && j.left() > 0:
		w.broken("not_done", "%s is called done with %d tasks left", j.spec.ID, j.left())
	}
	if s.State == wire.StateDone {
		j.doneTold = true
	}
	if s.State == wire.StateCancelled && !j.cancelTold {
		j.cancelTold, j.cancelledAt = true, w.now
		w.checkCancelled(j)
	}
}
