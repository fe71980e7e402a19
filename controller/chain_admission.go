package controller

import (
	"net/http"

	"pumicefront/wire"
)

// Acceptance of jobs that need others, and what has to be read before anybody is told of one.

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
			h, f := c.control.headers[p], c.finals.jobs[p]
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
// this job. It is called with a copy of the headers that is up to date. Of a job that has
// begun nothing has to be read: all that it needs was done.
func (c *Core) lookupEnds(job string, fn func(known)) {
	if n := c.progress[job]; n.done+n.running > 0 {
		fn(knownActive)
		return
	}
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
		case c.endUnknown(id):
			ends = append(ends, id)
		}
		visited[id] = true
	}
	return ends
}

// maxConds is how many conditions one transaction may have beside its job's own.
func (c *Core) maxConds() int { return 4*c.cfg.Facts.State.Tightest().TxnOps - 2 }
