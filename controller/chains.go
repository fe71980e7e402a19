package controller

import (
	"log/slog"
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Jobs that need others are the nodes of one growing graph, which every controller keeps
// for the headers that it holds. A cancellation is a failure that closes downstream:
// since a job starts nothing before all that it needs are done, whatever fails by
// closure has never run, and every controller can tell its users so from the headers
// alone. The final record of a cancelled job is written only when no unfinished job
// needs it any more, so the closure never loses what it rests on.

// link takes a header into the graph and tells the leader what changes by it.
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
		} else if f, over := c.final.jobs[p]; over {
			c.accumulateEnd(p, f)
		} else if ph == nil && c.lead != nil && c.lead.recovered {
			c.lead.fetchEnd(p)
		}
	}
}

// unlink takes in that a header is gone.
func (c *Core) removeFromChains(id string, h *headerRecord) {
	c.chains.Drop(id)
	l := c.lead
	if l == nil || !l.recovered {
		return
	}
	for _, p := range h.Job.Needs { // the end of one that is cancelled may be due now
		if j := l.jobs[p]; j != nil && j.cancelled {
			l.settle(j)
		}
	}
	if len(c.chains.Successors(id)) > 0 && c.chains.Status(id) == reduction.Pending {
		l.fetchEnd(id)
	}
}

// over takes in the final record of a job.
func (c *Core) jobEnded(id string, f finalRecord) {
	c.final.add(id, f)
	c.accumulateEnd(id, f)
}

func (c *Core) accumulateEnd(id string, f finalRecord) {
	o := reduction.Succeeded
	if f.Cancelled {
		o = reduction.Cancelled
	}
	c.chainsChanged(c.chains.Accumulate(id, o))
}

// moved tells the leader of jobs that are ready or called off by what became of others.
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

// withdrawn tells whether an unfinished job is cancelled, itself or by one that it needs.
func (c *Core) withdrawn(id string) bool {
	h := c.control.headers[id]
	return h != nil && (h.Cancelled || c.chains.Status(id) == reduction.Failed)
}

// held tells whether a job waits for others: it starts nothing, rents nothing, and takes
// no part of its team's guarantee.
func (l *leader) blocked(j *job) bool {
	return len(j.spec.Needs) > 0 && l.c.chains.Classify(j.id) == reduction.Waiting
}

// askEnd finds out how a job ended that others need and whose header is gone: nothing
// but its final record tells.
func (l *leader) fetchEnd(id string) {
	c := l.c
	c.lookup(id, func(k known) {
		switch {
		case c.lead != l || k == knownActive:
		case k == knownFinal:
			c.accumulateEnd(id, c.final.jobs[id])
		default:
			c.after(time.Second, func() {
				if c.lead == l {
					l.fetchEnd(id)
				}
			})
		}
	})
}

// askEnds asks for all that unfinished jobs need and that this leader knows nothing of.
func (l *leader) fetchEnds() {
	for _, j := range l.order {
		for _, p := range j.spec.Needs {
			if l.c.control.headers[p] == nil && l.c.chains.Status(p) == reduction.Pending {
				l.fetchEnd(p)
			}
		}
	}
}

// becameReady takes in that a job is ready: its times count from the end of the last job
// that it needs, also for a leader that was not there.
func (l *leader) becameReady(j *job) {
	j.ready = j.accepted
	for _, p := range j.spec.Needs {
		if at := time.UnixMilli(l.c.final.jobs[p].EndedMS); at.After(j.ready) {
			j.ready = at
		}
	}
	l.arrived(j)
	l.wantPlacement()
}

// soonReady lists what will be wanted by jobs that are about to be released: all that
// they need runs, and should end before a machine that is rented now is up.
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
	boot := l.soonestBoot(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		switch {
		case needed == nil && l.c.chains.Status(p) == reduction.Completed:
			continue
		case needed == nil || l.blocked(needed) || needed.state.Count(reduction.Pending) > 0:
			return false
		}
		for _, a := range needed.attempts {
			if !a.running || l.remaining(a) > boot {
				return false
			}
		}
	}
	return true
}

// deadline is by when a job should end: its own time, or that of the last job of its
// chain less what is estimated for those between.
type deadline struct {
	last   *wire.Job // whose time it is; nil: there is none
	from   time.Time // its submission
	before float64   // seconds before its end
}

// within is in how many seconds from d.from a job should end, where the last one has
// the given multiple of its time.
func (d deadline) within(times float64) float64 { return *d.last.DeadlineS*times - d.before }

func (d deadline) at() time.Time { return d.from.Add(config.Seconds(d.within(1))) }

// sooner tells whether d presses more than o.
func (d deadline) earlier(o deadline) bool {
	return d.last != nil && (o.last == nil || d.at().Before(o.at()))
}

// passBack gives the jobs that a job needs its priority and its deadline, where those
// press more than their own. It stops where nothing changes.
func (l *leader) inheritUrgency(j *job) {
	d := j.due
	d.before += j.spec.EstimateS + l.slowestFetch(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		if needed == nil {
			continue
		}
		sooner := d.earlier(needed.due)
		if !sooner && j.terms.Rank >= needed.terms.Rank {
			continue
		}
		if sooner {
			needed.due = d
		}
		needed.terms.Rank = min(needed.terms.Rank, j.terms.Rank)
		l.inheritUrgency(needed)
	}
}

// needs finds out of a submission's predecessors that all were accepted, and whether one
// is cancelled. What can't be known now is answered with 503. fn gets the conditions
// that the job's record has to be written under.
//
// One that was accepted stays so, and one that is cancelled meanwhile is found out about
// before anybody is told of the job, see lookupEnds. So no condition is needed, and a list
// may be as long as fits into a value. Version 2 tells from headers alone: while it may run,
// the headers of all that is unfinished must be as they were found.
func (c *Core) needs(r UserRequest, job *wire.Job, fn func(cancelled bool, conds []wire.Cond)) {
	left, unsure, refused := len(job.Needs), false, false
	done := func() {
		cancelled := false
		var conds []wire.Cond
		for _, p := range job.Needs {
			h, f := c.control.headers[p], c.final.jobs[p]
			switch {
			case f.Cancelled || c.withdrawn(p):
				cancelled = true
			case h != nil && h.Job.Kind == wire.KindService:
				refused = true // it is never done
			case h != nil:
				conds = append(conds, wire.Cond{Key: headerKey(p), Version: c.control.versions[headerKey(p)]})
			}
		}
		switch {
		case refused:
			c.answer(r.Req, http.StatusUnprocessableEntity, wire.Error{Error: "needs a job that was never accepted, or a service"})
		case unsure:
			c.retryLater(r.Req, "can't tell yet whether the jobs that it needs were accepted")
		case cancelled || c.allRun(firstVersionWithEnds):
			fn(cancelled, nil)
		case len(conds) > c.maxConds():
			c.retryLater(r.Req, "needs too many unfinished jobs for an earlier version")
		default:
			fn(false, conds)
		}
	}
	for _, p := range job.Needs {
		c.lookup(p, func(k known) {
			left--
			refused = refused || k == knownNot
			unsure = unsure || k == knownUnsure
			if left == 0 {
				done()
			}
		})
	}
}

// lookupEnds finds out how the jobs ended that an unfinished job needs, directly or through
// others, where their headers are gone: one of them may have been cancelled, and then so is
// this job. It is called with a copy of the headers that is up to date.
func (c *Core) lookupEnds(job string, fn func(known)) {
	ends := c.unknownEnds(job, map[string]bool{}, nil)
	if len(ends) == 0 {
		fn(knownActive)
		return
	}
	left, unsure := len(ends), false
	for _, id := range ends {
		c.lookupFinal(id, func(k known) {
			left--
			unsure = unsure || k == knownUnsure
			switch {
			case left > 0:
			case unsure:
				fn(knownUnsure)
			case c.control.headers[job] == nil: // over by now
				c.lookupFinal(job, fn)
			default:
				fn(knownActive)
			}
		})
	}
}

// unknownEnds appends the jobs that an unfinished job needs and of which this controller
// has neither the header nor the end.
func (c *Core) unknownEnds(job string, visited map[string]bool, ends []string) []string {
	for _, id := range c.control.headers[job].Job.Needs {
		switch {
		case visited[id]:
			continue
		case c.control.headers[id] != nil:
			ends = c.unknownEnds(id, visited, ends)
		case c.chains.Status(id) == reduction.Pending:
			ends = append(ends, id)
		}
		visited[id] = true
	}
	return ends
}

// maxConds is how many conditions one transaction may have beside its job's own.
func (c *Core) maxConds() int { return 4*c.cfg.Facts.State.Tightest().TxnOps - 2 }

// Versions. Old ones may lead beside new ones while a deployment is upgraded, and would
// run a job without waiting for what it needs. Every process notes its version; when all
// members have noted one that knows chains, no older one comes back.

// announce notes this process's version where it isn't noted yet.
func (c *Core) announce() {
	if !c.control.loaded || c.announcing || c.control.members[c.cfg.Member] >= thisVersion {
		return
	}
	c.announcing = true
	key := versionPrefix + c.cfg.Member
	set := put(key, versionRecord{thisVersion})
	txn := wire.Txn{If: []wire.Cond{{Key: key, Version: c.control.versions[key]}}, Then: []wire.Change{set}}
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status == http.StatusOK {
			c.written(wire.Event{Put: key, Value: set.Value, Version: r.Txn.Revision})
		}
		c.after(time.Second, func() { c.announcing = false })
	})
}

// allRun tells whether every member runs the version or a later one, so that no process of
// an earlier version can come back.
func (c *Core) allRun(version int) bool {
	least := c.control.members[c.cfg.Member]
	for _, o := range c.cfg.Others {
		least = min(least, c.control.members[o.Member])
	}
	return least >= version
}
