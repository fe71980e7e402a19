package controller

import (
	"net/http"

	"pumicefront/wire"
)

// Admission of jobs that need other jobs, and the reads that must precede an answer about such a job.

// checkNeededJobs checks that all jobs needed by a submission were accepted, and whether one of them is
// cancelled. If this can't be determined now, the request is answered with 503. Otherwise fn is called with
// the transaction conditions for writing the job's header.
//
// An accepted job stays accepted, and a cancellation that happens meanwhile is detected before any
// answer about the job is given, see lookupOutcomes. So no condition is needed, and the list may be as
// long as fits into a value. A controller of version 2 determines a job's state from headers alone:
// while one may run, the headers of all unfinished needed jobs must be unchanged when the job is
// accepted.
func (c *Core) checkNeededJobs(r UserRequest, job *wire.Job, fn func(cancelled bool, conds []wire.Cond)) {
	remaining, undetermined, refused := len(job.Needs), false, false
	done := func() {
		cancelled := false
		var conds []wire.Cond
		for _, p := range job.Needs {
			h, f := c.watchCache.headers[p], c.finals.jobs[p]
			switch {
			case f.Cancelled || c.effectivelyCancelled(p):
				cancelled = true
			case h != nil && h.Job.Kind == wire.KindService:
				refused = true // a service is never done
			case h != nil:
				conds = append(conds, wire.Cond{Key: headerKey(p), Version: c.watchCache.versions[headerKey(p)]})
			}
		}
		switch {
		case refused:
			c.answer(r.Req, http.StatusUnprocessableEntity, wire.Error{Error: "needs a job that was never accepted, or a service"})
		case undetermined:
			c.retryLater(r.Req, "can't tell yet whether the jobs that it needs were accepted")
		case cancelled || c.allMembersRun(firstVersionWithOutcomes):
			fn(cancelled, nil)
		case len(conds) > c.maxConds():
			c.retryLater(r.Req, "needs too many unfinished jobs for an earlier version")
		default:
			fn(false, conds)
		}
	}
	for _, p := range job.Needs {
		c.lookup(p, func(k lookupResult) {
			remaining--
			refused = refused || k == jobUnknown
			undetermined = undetermined || k == jobUndetermined
			if remaining == 0 {
				done()
			}
		})
	}
}

// lookupOutcomes looks up the outcomes of the jobs that an unfinished job needs, directly or
// transitively, and whose headers are deleted: if one of them was cancelled, the unfinished job is
// cancelled too. The caller must have brought the watch cache up to date. For a job with running or
// done tasks nothing has to be read, since all jobs that it needs were done.
func (c *Core) lookupOutcomes(job string, fn func(lookupResult)) {
	if n := c.progress[job]; n.done+n.running > 0 {
		fn(jobUnfinished)
		return
	}
	unknown := c.unknownOutcomes(job, map[string]bool{}, nil)
	if len(unknown) == 0 {
		fn(jobUnfinished)
		return
	}
	remaining, undetermined := len(unknown), false
	for _, id := range unknown {
		c.lookupFinal(id, func(k lookupResult) {
			remaining--
			undetermined = undetermined || k == jobUndetermined
			switch {
			case remaining > 0:
			case undetermined:
				fn(jobUndetermined)
			case c.watchCache.headers[job] == nil: // finished meanwhile
				c.lookupFinal(job, fn)
			default:
				fn(jobUnfinished)
			}
		})
	}
}

// unknownOutcomes appends the jobs that an unfinished job needs, directly or transitively, and of which
// this controller has neither the header nor the outcome.
func (c *Core) unknownOutcomes(job string, visited map[string]bool, unknown []string) []string {
	for _, id := range c.watchCache.headers[job].Job.Needs {
		switch {
		case visited[id]:
			continue
		case c.watchCache.headers[id] != nil:
			unknown = c.unknownOutcomes(id, visited, unknown)
		case c.outcomeUnknown(id):
			unknown = append(unknown, id)
		}
		visited[id] = true
	}
	return unknown
}

// maxConds returns the maximum number of conditions of a transaction, less the two for the job's own
// records.
func (c *Core) maxConds() int { return 4*c.cfg.Facts.State.MinLimits().TxnOps - 2 }
