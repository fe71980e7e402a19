package controller

import (
	"log/slog"
	"time"

	"pumicefront/reduction"
	"pumicefront/scheduler"
)

// Dependencies between jobs. Jobs that need other jobs are the nodes of one dynamic graph, which
// every controller maintains for the headers in its copy. A cancellation is a failure that
// propagates to all dependents. Since a job starts no task before all jobs that it needs are done, a
// job cancelled in this way has never run, and every controller can derive the cancellation from the
// headers or, where those are deleted, the final records (see lookupOutcomes). The leader writes the
// final record of a cancelled job only when no unfinished job that it knows of needs it any more.

// addDependencies adds a job to the graph, or marks it as cancelled there, and applies the effects on
// its dependents to the leader's state.
func (c *Core) addDependencies(id string, h *headerRecord) {
	if h.Cancelled {
		c.updateDependents(c.dependencies.Accumulate(id, reduction.Cancelled))
		return
	}
	if len(h.Job.Needs) == 0 {
		return
	}
	c.updateDependents(c.dependencies.Add(id, h.Job.Needs))
	for _, p := range h.Job.Needs {
		if ph := c.watchCache.headers[p]; ph != nil && ph.Cancelled {
			c.updateDependents(c.dependencies.Accumulate(p, reduction.Cancelled))
		} else if f, over := c.finals.jobs[p]; over {
			c.accumulateOutcome(p, f)
		} else if ph == nil && c.lead != nil && c.lead.recovered {
			c.lead.fetchOutcome(p)
		}
	}
}

// removeDependencies removes a job from the graph after its header was deleted.
func (c *Core) removeDependencies(id string, h *headerRecord) {
	c.dependencies.Drop(id)
	l := c.lead
	if l == nil || !l.recovered {
		return
	}
	for _, p := range h.Job.Needs { // the final record of a cancelled one may be due now
		if j := l.jobs[p]; j != nil && j.cancelled {
			l.finalizeIfSettled(j)
		}
	}
	if len(c.dependencies.Successors(id)) > 0 && c.outcomeUnknown(id) {
		l.fetchOutcome(id)
	}
}

// applyFinal caches the final record of a job and applies its outcome to the graph.
func (c *Core) applyFinal(id string, f finalRecord) {
	c.finals.add(id, f)
	c.accumulateOutcome(id, f)
}

func (c *Core) accumulateOutcome(id string, f finalRecord) {
	o := reduction.Succeeded
	if f.Cancelled {
		o = reduction.Cancelled
	}
	c.updateDependents(c.dependencies.Accumulate(id, o))
}

// updateDependents updates the leader's state of jobs that became ready or were cancelled by the
// outcome of jobs that they need.
func (c *Core) updateDependents(ids []string) {
	l := c.lead
	if l == nil || !l.recovered {
		return
	}
	for _, id := range ids {
		j := l.jobs[id]
		switch {
		case j == nil:
		case c.effectivelyCancelled(id):
			c.log(slog.LevelInfo, "job cancelled with what it needs", "job", id)
			l.cancel(j)
			l.finalizeIfSettled(j)
		default:
			c.log(slog.LevelInfo, "job ready", "job", id, "after", c.now.Sub(j.accepted))
			l.markReady(j)
		}
	}
}

// effectivelyCancelled reports whether an unfinished job is cancelled, either directly or because a job that it
// needs is cancelled.
func (c *Core) effectivelyCancelled(id string) bool {
	h := c.watchCache.headers[id]
	return h != nil && (h.Cancelled || c.dependencies.Status(id) == reduction.Failed)
}

// blocked reports whether a job waits for jobs that it needs. A blocked job starts no tasks, causes
// no rentals and uses no part of its team's guarantee.
func (l *leader) blocked(j *job) bool {
	return len(j.spec.Needs) > 0 && l.c.dependencies.Classify(j.id) == reduction.Waiting
}

// outcomeUnknown reports whether this controller has neither the header nor the outcome of a job that
// others need.
func (c *Core) outcomeUnknown(id string) bool {
	return c.watchCache.headers[id] == nil && c.dependencies.Status(id) == reduction.Pending
}

// fetchOutcome looks up the outcome of a job that others need and whose header is deleted, with
// retries. Only its final record contains the outcome.
func (l *leader) fetchOutcome(id string) {
	c := l.c
	c.lookup(id, func(k lookupResult) {
		switch {
		case c.lead != l || k == jobUnfinished:
		case k == jobFinal:
			c.accumulateOutcome(id, c.finals.jobs[id])
		default:
			c.after(time.Second, func() {
				if c.lead == l {
					l.fetchOutcome(id)
				}
			})
		}
	})
}

// fetchUnknownOutcomes looks up the unknown outcomes of all jobs that unfinished jobs need.
func (l *leader) fetchUnknownOutcomes() {
	for _, j := range l.jobsByAcceptance {
		for _, p := range j.spec.Needs {
			if l.c.outcomeUnknown(p) {
				l.fetchOutcome(p)
			}
		}
	}
}

// markReady sets the time since which a job is ready: the end of the last job that it needs, as
// recorded, so that a later leader determines the same time.
func (l *leader) markReady(j *job) {
	j.ready = j.accepted
	for _, p := range j.spec.Needs {
		if at := time.UnixMilli(l.c.finals.jobs[p].EndedMS); at.After(j.ready) {
			j.ready = at
		}
	}
	l.autoscaler.recordArrival(j)
	l.schedulePlacement()
}

// soonReadyDemands lists the demands of jobs that will be ready soon: all jobs that they need are done or
// running, and should end before a machine that is rented now is up.
func (l *leader) soonReadyDemands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, j := range l.jobsByAcceptance {
		if j.cancelled || !l.blocked(j) || !l.neededJobsEndSoon(j) {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank, d.WithinGuarantee, d.Tasks = j.terms.Rank, true, make([]int, d.Total)
		ds = append(ds, d)
	}
	return ds
}

// neededJobsEndSoon reports whether all jobs that a job needs are done or should end before a machine
// that is rented now is up.
func (l *leader) neededJobsEndSoon(j *job) bool {
	boot := l.c.shortestBootForS(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		switch {
		case needed == nil && l.c.dependencies.Status(p) == reduction.Completed:
			continue
		case needed == nil || l.blocked(needed) || needed.state.Count(reduction.Pending) > 0:
			return false
		}
		for _, a := range needed.attempts {
			if a.phase < attemptRunning || l.remainingS(a) > boot {
				return false
			}
		}
	}
	return true
}
