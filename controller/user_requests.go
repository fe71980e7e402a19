package controller

import (
	"net/http"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// User requests. Any controller answers them, from a state service read made after the request
// arrived.

// handleUserRequest handles a user request.
func (c *Core) handleUserRequest(r UserRequest) {
	switch r.Op {
	case UserReady:
		c.answerReady(r)
	case UserSubmit:
		c.submit(r)
	case UserPoll:
		c.lookup(r.Job, func(k lookupResult) { c.answerJobState(r, k, http.StatusNotFound) })
	case UserCancel:
		c.cancelJob(r, 3)
	}
}

// answerReady answers the readiness check. It makes a fresh read, so that a positive answer also holds
// for the next request.
func (c *Core) answerReady(r UserRequest) {
	c.sync(func(ok bool) {
		if ok && len(c.types) > 0 {
			c.answer(r.Req, http.StatusOK, struct{}{})
			return
		}
		c.retryLater(r.Req, "state service not reached or machine types not known")
	})
}

// answerJobState answers with the job's state, or with notFoundStatus for a job that was not
// submitted.
func (c *Core) answerJobState(r UserRequest, k lookupResult, notFoundStatus int) {
	switch k {
	case jobUnknown:
		if notFoundStatus == http.StatusServiceUnavailable {
			c.retryLater(r.Req, "can't decide yet")
			return
		}
		c.answer(r.Req, notFoundStatus, wire.Error{Error: "no such job"})
	case jobUndetermined:
		c.retryLater(r.Req, "state service not reached")
	default:
		c.answer(r.Req, http.StatusOK, c.jobState(r.Job))
	}
}

// jobState returns the state of a job that is on record, from what this controller knows of it.
func (c *Core) jobState(job string) wire.JobState {
	s := wire.JobState{ID: job, State: wire.StateQueued}
	if f, ok := c.finals.jobs[job]; ok {
		s.State, s.Done = wire.StateDone, f.Tasks
		if f.Cancelled {
			s.State, s.Done = wire.StateCancelled, 0
		}
		return s
	}
	n := c.progress[job]
	s.Done, s.Running = n.done, n.running
	if n.running > 0 {
		s.State = wire.StateRunning
	}
	if c.effectivelyCancelled(job) {
		s.State = wire.StateCancelled
	}
	return s
}

// submit accepts a job by creating its record, whether or not this controller leads. For a job that
// is known already, its state is the answer, whatever else is wrong with the request.
func (c *Core) submit(r UserRequest) {
	job, id, err := wire.ParseJob(r.Body)
	r.Job = id
	if _, over := c.finals.jobs[id]; over || c.watchCache.headers[id] != nil {
		c.lookup(id, func(k lookupResult) { c.answerJobState(r, k, http.StatusServiceUnavailable) })
		return // a repeated submission uses none of the write budget
	}
	limits := c.cfg.Facts.State.MinLimits()
	header := headerRecord{Job: job, AcceptedMS: c.now.UnixMilli(), TasksPerChunk: tasksPerRecord(limits.ValueKB)}
	tooBig := !fits(wire.Marshal(header), headerReserve, limits.ValueKB)
	switch {
	case err != nil || tooBig:
		c.lookup(id, func(k lookupResult) { c.answerJobState(r, k, http.StatusBadRequest) })
	case len(c.types) == 0:
		c.lookup(id, func(k lookupResult) { c.answerJobState(r, k, http.StatusServiceUnavailable) })
	case !c.canRun(&job):
		c.lookup(id, func(k lookupResult) { c.answerJobState(r, k, http.StatusUnprocessableEntity) })
	case !c.watchCache.loaded || c.watchCache.unreachable:
		c.retryLater(r.Req, "state service not reached")
	case len(job.Needs) == 0:
		c.createJobRecord(r, header, nil)
	case !c.allMembersRun(firstVersionWithDependencies):
		c.retryLater(r.Req, "an earlier version may still run")
	default:
		c.checkNeededJobs(r, &job, func(cancelled bool, conds []wire.Cond) {
			header.Cancelled = cancelled
			c.createJobRecord(r, header, conds)
		})
	}
}

// createJobRecord creates a job's record, on the conditions that no record of the job exists and that
// the jobs it needs are unchanged since they were checked.
func (c *Core) createJobRecord(r UserRequest, header headerRecord, conds []wire.Cond) {
	id := header.Job.ID
	if !c.writes.AllowN(c.now, 1) {
		c.rejectSubmission(r, &header.Job)
		return
	}
	raw := wire.Marshal(header)
	txn := wire.Txn{
		If:   append([]wire.Cond{{Key: headerKey(id)}, {Key: finalKey(id)}}, conds...),
		Then: []wire.Change{{Put: headerKey(id), Value: raw}},
	}
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(reply StateReply) {
		switch reply.Status {
		case http.StatusOK:
			c.applyOwnChange(wire.Event{Put: headerKey(id), Value: raw, Version: reply.Txn.Revision})
			state := wire.JobState{ID: id, State: wire.StateQueued}
			if header.Cancelled {
				state.State = wire.StateCancelled
			}
			c.answer(r.Req, http.StatusCreated, state)
		case http.StatusConflict: // submitted meanwhile, or a job that it needs has changed
			c.lookup(id, func(k lookupResult) { c.answerJobState(r, k, http.StatusServiceUnavailable) })
		case http.StatusTooManyRequests:
			c.rejectSubmission(r, &header.Job)
		default:
			c.retryLater(r.Req, "state service not reached")
		}
	})
}

// canRun reports whether a job could ever run.
func (c *Core) canRun(j *wire.Job) bool {
	need := taskResources(j)
	if j.Kind != wire.KindArray {
		need = scheduler.Resources{}.Add(need, float64(j.Tasks))
	}
	if c.quotas[j.Team].limit.Fits(need) == 0 {
		return false // an unknown team has no quota
	}
	d := c.demandOf(j)
	for _, t := range c.types {
		for _, zone := range t.Zones {
			if d.Allows(t.Name, zone, false) && machineCapacity(t).Fits(d.TaskResources) > 0 {
				return true
			}
		}
	}
	return false
}

// cancelJob cancels a job with a compare-and-swap on its record, so that the record's version
// decides a race with the job's completion.
func (c *Core) cancelJob(r UserRequest, attemptsLeft int) {
	c.lookup(r.Job, func(k lookupResult) {
		header := c.watchCache.headers[r.Job]
		if k != jobUnfinished || c.effectivelyCancelled(r.Job) {
			c.answerJobState(r, k, http.StatusNotFound)
			return
		}
		if header.Grant != nil {
			c.cancelGranted(r, *header)
			return
		}
		if attemptsLeft == 0 || !c.writes.AllowN(c.now, 1) {
			c.retryLater(r.Req, "too many changes")
			return
		}
		c.updateHeader(r.Job, cancelledHeader(*header, c.cfg.Facts.State.MinLimits().ValueKB), func(status int) {
			switch status {
			case http.StatusOK:
				c.answer(r.Req, http.StatusOK, wire.JobState{ID: r.Job, State: wire.StateCancelled})
			case http.StatusConflict:
				c.cancelJob(r, attemptsLeft-1)
			default:
				c.retryLater(r.Req, "state service not reached")
			}
		})
	})
}

// updateHeader replaces a job's header on behalf of a user, on the condition that it still has the
// version that this controller knows, and calls fn with the status of the reply.
func (c *Core) updateHeader(id string, raw []byte, fn func(status int)) {
	key := headerKey(id)
	txn := wire.Txn{If: []wire.Cond{{Key: key, Version: c.watchCache.versions[key]}}, Then: []wire.Change{{Put: key, Value: raw}}}
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(reply StateReply) {
		if reply.Status == http.StatusOK {
			c.applyOwnChange(wire.Event{Put: key, Value: raw, Version: reply.Txn.Revision})
		}
		fn(reply.Status)
	})
}
