package controller

import (
	"log/slog"
	"time"

	"pumicefront/reduction"
	"pumicefront/scheduler"
)

// Dependencies between jobs. Jobs that need other jobs are the nodes of one dynamic graph, which
// every controller maintains for the job headers in its watch cache. A cancellation is a failure that
// propagates to all dependents. Since a job starts no task before all jobs that it needs are done, a
// job that is cancelled because a job that it needs is cancelled has never run. Every controller can
// derive this cancellation from the headers of the needed jobs or, for needed jobs whose header is
// deleted, from their final records (see lookupOutcomes). The leader writes the final record of a
// cancelled job only when no unfinished job that it knows of needs it any more.

// addDependencies adds a job to the graph with the known outcomes of the jobs that it needs, or marks it
// as cancelled there, and updates the jobs in the leader's state that are affected. A recovered leader
// also looks up the outcomes of needed jobs that have neither a header nor a cached final record.
func (c *Core) addDependencies(id string, h *headerRecord) {
	if h.Cancelled {
		c.updateDependents(c.dependencies.Accumulate(id, reduction.Cancelled))
		return
	}
	if len(h.Job.Needs) == 0 {
		return
	}
	c.updateDependents(c.dependencies.Add(id, h.Job.Needs))
	for _, neededID := range h.Job.Needs {
		if neededHeader := c.watchCache.headers[neededID]; neededHeader != nil && neededHeader.Cancelled {
			c.updateDependents(c.dependencies.Accumulate(neededID, reduction.Cancelled))
		} else if final, ended := c.finals.jobs[neededID]; ended {
			c.accumulateOutcome(neededID, final)
		} else if neededHeader == nil && c.lead != nil && c.lead.recovered {
			c.lead.fetchOutcome(neededID)
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
	for _, neededID := range h.Job.Needs { // the final record of a cancelled needed job may be due now: this job no longer needs it
		if j := l.jobs[neededID]; j != nil && j.cancelled {
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

// accumulateOutcome applies the outcome in a job's final record to the graph.
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
		case j == nil: // not an unfinished job of this leader
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

// fetchOutcome looks up the outcome of a job that others need and whose header is deleted. Only its
// final record contains the outcome. The lookup is repeated every second until it succeeds, the job
// turns out to be unfinished or this controller stops being the leader.
func (l *leader) fetchOutcome(id string) {
	c := l.c
	c.lookup(id, func(result lookupResult) {
		switch {
		case c.lead != l || result == jobUnfinished: // not the leader any more, or the job has no outcome yet
		case result == jobFinal:
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
		for _, neededID := range j.spec.Needs {
			if l.c.outcomeUnknown(neededID) {
				l.fetchOutcome(neededID)
			}
		}
	}
}

// markReady sets the time since which a job is ready: the time of its acceptance or the latest end of a
// job that it needs, whichever is later. Both times are recorded, so a later leader determines the same
// time. It also records the arrival for the headroom estimate and schedules a placement round.
func (l *leader) markReady(j *job) {
	j.ready = j.accepted
	for _, neededID := range j.spec.Needs {
		if at := time.UnixMilli(l.c.finals.jobs[neededID].EndedMS); at.After(j.ready) {
			j.ready = at
		}
	}
	l.autoscaler.recordArrival(j)
	l.schedulePlacement()
}

// soonReadyDemands lists the demands of blocked jobs that are expected to be ready by the time that a
// machine rented now is up, see neededJobsEndSoon.
func (l *leader) soonReadyDemands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, j := range l.jobsByAcceptance {
		if j.cancelled || !l.blocked(j) || !l.neededJobsEndSoon(j) {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank, d.WithinGuarantee, d.Tasks = j.terms.Rank, true, placeholderTasks(d)
		ds = append(ds, d)
	}
	return ds
}

// neededJobsEndSoon reports whether each job that a job needs is done, or has no pending task and only
// running attempts that are expected to end within the shortest boot time of the machine types that the
// waiting job may use.
func (l *leader) neededJobsEndSoon(j *job) bool {
	bootS := l.c.shortestBootForS(&j.spec)
	for _, neededID := range j.spec.Needs {
		needed := l.jobs[neededID]
		switch {
		case needed == nil && l.c.dependencies.Status(neededID) == reduction.Completed:
			continue
		case needed == nil || l.blocked(needed) || needed.state.Count(reduction.Pending) > 0:
			return false
		}
		for _, a := range needed.attempts {
			if a.phase < attemptRunning || l.remainingS(a) > bootS {
				return false
			}
		}
	}
	return true
}
