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
// headers or, where those are deleted, the final records (see lookupEnds). The leader writes the
// final record of a cancelled job only when no unfinished job that it knows of needs it any more.

// addToChains adds a job to the graph, or marks it as cancelled there, and applies the effects on
// its dependents to the leader's state.
func (c *Core) addToChains(id string, h *headerRecord) {
	if h.Cancelled {
		c.chainsChanged(c.chains.Accumulate(id, reduction.Cancelled))
		return
	}
	if len(h.Job.Needs) == 0 {
		return
	}
	c.chainsChanged(c.chains.Add(id, h.Job.Needs))
	for _, p := range h.Job.Needs {
		if ph := c.control.headers[p]; ph != nil && ph.Cancelled {
			c.chainsChanged(c.chains.Accumulate(p, reduction.Cancelled))
		} else if f, over := c.finals.jobs[p]; over {
			c.accumulateEnd(p, f)
		} else if ph == nil && c.lead != nil && c.lead.recovered {
			c.lead.fetchEnd(p)
		}
	}
}

// removeFromChains removes a job from the graph after its header was deleted.
func (c *Core) removeFromChains(id string, h *headerRecord) {
	c.chains.Drop(id)
	l := c.lead
	if l == nil || !l.recovered {
		return
	}
	for _, p := range h.Job.Needs { // the final record of a cancelled one may be due now
		if j := l.jobs[p]; j != nil && j.cancelled {
			l.settle(j)
		}
	}
	if len(c.chains.Successors(id)) > 0 && c.endUnknown(id) {
		l.fetchEnd(id)
	}
}

// jobEnded caches the final record of a job and applies its outcome to the graph.
func (c *Core) jobEnded(id string, f finalRecord) {
	c.finals.add(id, f)
	c.accumulateEnd(id, f)
}

func (c *Core) accumulateEnd(id string, f finalRecord) {
	o := reduction.Succeeded
	if f.Cancelled {
		o = reduction.Cancelled
	}
	c.chainsChanged(c.chains.Accumulate(id, o))
}

// chainsChanged updates the leader's state of jobs that became ready or were cancelled by the
// outcome of jobs that they need.
func (c *Core) chainsChanged(ids []string) {
	l := c.lead
	if l == nil || !l.recovered {
		return
	}
	for _, id := range ids {
		j := l.jobs[id]
		switch {
		case j == nil:
		case c.withdrawn(id):
			c.log(slog.LevelInfo, "job cancelled with what it needs", "job", id)
			l.cancel(j)
			l.settle(j)
		default:
			c.log(slog.LevelInfo, "job ready", "job", id, "after", c.now.Sub(j.accepted))
			l.becameReady(j)
		}
	}
}

// withdrawn reports whether an unfinished job is cancelled, either directly or because a job that it
// needs is cancelled.
func (c *Core) withdrawn(id string) bool {
	h := c.control.headers[id]
	return h != nil && (h.Cancelled || c.chains.Status(id) == reduction.Failed)
}

// blocked reports whether a job waits for jobs that it needs. A blocked job starts no tasks, causes
// no rentals and uses no part of its team's guarantee.
func (l *leader) blocked(j *job) bool {
	return len(j.spec.Needs) > 0 && l.c.chains.Classify(j.id) == reduction.Waiting
}

// endUnknown reports whether this controller has neither the header nor the outcome of a job that
// others need.
func (c *Core) endUnknown(id string) bool {
	return c.control.headers[id] == nil && c.chains.Status(id) == reduction.Pending
}

// fetchEnd looks up the outcome of a job that others need and whose header is deleted, with retries.
// Only its final record contains the outcome.
func (l *leader) fetchEnd(id string) {
	c := l.c
	c.lookup(id, func(k known) {
		switch {
		case c.lead != l || k == knownActive:
		case k == knownFinal:
			c.accumulateEnd(id, c.finals.jobs[id])
		default:
			c.after(time.Second, func() {
				if c.lead == l {
					l.fetchEnd(id)
				}
			})
		}
	})
}

// fetchEnds looks up the unknown outcomes of all jobs that unfinished jobs need.
func (l *leader) fetchEnds() {
	for _, j := range l.order {
		for _, p := range j.spec.Needs {
			if l.c.endUnknown(p) {
				l.fetchEnd(p)
			}
		}
	}
}

// becameReady sets the time since which a job is ready: the end of the last job that it needs, as
// recorded, so that a later leader determines the same time.
func (l *leader) becameReady(j *job) {
	j.ready = j.accepted
	for _, p := range j.spec.Needs {
		if at := time.UnixMilli(l.c.finals.jobs[p].EndedMS); at.After(j.ready) {
			j.ready = at
		}
	}
	l.autoscaler.arrived(j)
	l.wantPlacement()
}

// soonReady lists the demands of jobs that will be ready soon: all jobs that they need are done or
// running, and should end before a machine that is rented now is up.
func (l *leader) soonReady() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, j := range l.order {
		if j.cancelled || !l.blocked(j) || !l.needsEndSoon(j) {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank, d.WithinGuarantee, d.Tasks = j.terms.Rank, true, make([]int, d.Total)
		ds = append(ds, d)
	}
	return ds
}

func (l *leader) needsEndSoon(j *job) bool {
	boot := l.c.soonestBoot(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		switch {
		case needed == nil && l.c.chains.Status(p) == reduction.Completed:
			continue
		case needed == nil || l.blocked(needed) || needed.state.Count(reduction.Pending) > 0:
			return false
		}
		for _, a := range needed.attempts {
			if a.phase < attemptRunning || l.remaining(a) > boot {
				return false
			}
		}
	}
	return true
}
