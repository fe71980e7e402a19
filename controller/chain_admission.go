package controller

import (
	"net/http"

	"pumicefront/wire"
)

// Admission of jobs that need other jobs, and the reads that must precede an answer about such a job.

// needs checks that all jobs needed by a submission were accepted, and whether one of them is
// cancelled. If this can't be determined now, the request is answered with 503. fn gets the
// transaction conditions for writing the job's header.
//
// An accepted job stays accepted, and a cancellation that happens meanwhile is detected before any
// answer about the job is given, see lookupEnds. So no condition is needed, and the list may be as
// long as fits into a value. Version 2 determines a job's state from headers alone: while it may
// run, the headers of all unfinished needed jobs must be unchanged when the job is accepted.
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
				refused = true // a service is never done
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

// lookupEnds looks up the outcomes of the jobs that an unfinished job needs, directly or
// transitively, and whose headers are deleted: if one of them was cancelled, this job is cancelled
// too. The copy of the headers must be up to date. For a job with running or done tasks nothing has
// to be read, since all jobs that it needs were done.
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
			case c.control.headers[job] == nil: // finished meanwhile
				c.lookupFinal(job, fn)
			default:
				fn(knownActive)
			}
		})
	}
}

// unknownEnds appends the jobs that an unfinished job needs, directly or transitively, and of which
// this controller has neither the header nor the outcome.
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

// maxConds returns the maximum number of conditions of a transaction, less the two for the job's own
// records.
func (c *Core) maxConds() int { return 4*c.cfg.Facts.State.Tightest().TxnOps - 2 }
