package controller

import (
	"net/http"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Requests of users. Any controller answers them, from a read made after they came.

func (c *Core) user(r UserRequest) {
	switch r.Op {
	case UserReady:
		c.ready(r)
	case UserSubmit:
		c.submit(r)
	case UserPoll:
		c.lookup(r.Job, func(k known) { c.answerState(r, k, http.StatusNotFound) })
	case UserAbort:
		c.abort(r, 3)
	}
}

// ready is a fresh read: what it says holds for the next request too.
func (c *Core) ready(r UserRequest) {
	c.sync(func(ok bool) {
		if ok && len(c.types) > 0 {
			c.answer(r.Req, http.StatusOK, struct{}{})
			return
		}
		c.retryLater(r.Req, "state service not reached or machine types not known")
	})
}

// answerState answers with the job's state, or with unknown where nobody submitted it.
func (c *Core) answerState(r UserRequest, k known, unknown int) {
	switch k {
	case knownNot:
		if unknown == http.StatusServiceUnavailable {
			c.retryLater(r.Req, "can't decide yet")
			return
		}
		c.answer(r.Req, unknown, wire.Error{Error: "no such job"})
	case knownUnsure:
		c.retryLater(r.Req, "state service not reached")
	default:
		c.answer(r.Req, http.StatusOK, c.jobState(r.Job))
	}
}

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
	if c.withdrawn(job) {
		s.State = wire.StateCancelled
	}
	return s
}

// submit accepts a job by creating its record, whoever leads. A job that is
// known already is answered before anything else is judged.
func (c *Core) submit(r UserRequest) {
	job, id, err := wire.ParseJob(r.Body)
	r.Job = id
	if _, over := c.finals.jobs[id]; over || c.control.headers[id] != nil {
		c.lookup(id, func(k known) { c.answerState(r, k, http.StatusServiceUnavailable) })
		return // a repeat takes no share of the writes
	}
	limits := c.cfg.Facts.State.Tightest()
	h := headerRecord{Job: job, AcceptedMS: c.now.UnixMilli(), PerChunk: tasksPerRecord(limits.ValueKB)}
	tooBig := !fits(wire.Marshal(h), headerRoom, limits.ValueKB)
	switch {
	case err != nil || tooBig:
		c.lookup(id, func(k known) { c.answerState(r, k, http.StatusBadRequest) })
	case len(c.types) == 0:
		c.lookup(id, func(k known) { c.answerState(r, k, http.StatusServiceUnavailable) })
	case !c.canRun(&job):
		c.lookup(id, func(k known) { c.answerState(r, k, http.StatusUnprocessableEntity) })
	case !c.control.loaded || c.control.unreachable:
		c.retryLater(r.Req, "state service not reached")
	case len(job.Needs) == 0:
		c.accept(r, h, nil)
	case !c.allRun(firstVersionWithChains):
		c.retryLater(r.Req, "an earlier version may still run")
	default:
		c.needs(r, &job, func(cancelled bool, conds []wire.Cond) {
			h.Cancelled = cancelled
			c.accept(r, h, conds)
		})
	}
}

// accept creates a job's record, on conditions that what it needs is as was found.
func (c *Core) accept(r UserRequest, h headerRecord, conds []wire.Cond) {
	id := h.Job.ID
	if !c.writes.AllowN(c.now, 1) {
		c.rejectSubmission(r, &h.Job)
		return
	}
	raw := wire.Marshal(h)
	txn := wire.Txn{
		If:   append([]wire.Cond{{Key: headerKey(id)}, {Key: finalKey(id)}}, conds...),
		Then: []wire.Change{{Put: headerKey(id), Value: raw}},
	}
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(reply StateReply) {
		switch reply.Status {
		case http.StatusOK:
			c.written(wire.Event{Put: headerKey(id), Value: raw, Version: reply.Txn.Revision})
			state := wire.JobState{ID: id, State: wire.StateQueued}
			if h.Cancelled {
				state.State = wire.StateCancelled
			}
			c.answer(r.Req, http.StatusCreated, state)
		case http.StatusConflict: // known by now, or what it needs has changed
			c.lookup(id, func(k known) { c.answerState(r, k, http.StatusServiceUnavailable) })
		case http.StatusTooManyRequests:
			c.rejectSubmission(r, &h.Job)
		default:
			c.retryLater(r.Req, "state service not reached")
		}
	})
}

// canRun reports whether a job could ever run.
func (c *Core) canRun(j *wire.Job) bool {
	need := jobEach(j)
	if j.Kind != wire.KindArray {
		need = scheduler.Resources{}.Add(need, float64(j.Tasks))
	}
	if c.quotas[j.Team].limit.Fits(need) == 0 {
		return false // an unknown team may use nothing
	}
	d := c.demandOf(j)
	for _, t := range c.types {
		for _, zone := range t.Zones {
			if d.Allows(t.Name, zone, false) && capOf(t).Fits(d.Each) > 0 {
				return true
			}
		}
	}
	return false
}

// abort cancels a job by a write on its record; a race with its completion is
// settled by the record's version.
func (c *Core) abort(r UserRequest, tries int) {
	c.lookup(r.Job, func(k known) {
		h := c.control.headers[r.Job]
		if k != knownActive || c.withdrawn(r.Job) {
			c.answerState(r, k, http.StatusNotFound)
			return
		}
		if h.Grant != nil {
			c.abortGranted(r, *h)
			return
		}
		if tries == 0 || !c.writes.AllowN(c.now, 1) {
			c.retryLater(r.Req, "too many changes")
			return
		}
		c.updateHeader(r.Job, cancelledHeader(*h, c.cfg.Facts.State.Tightest().ValueKB), func(status int) {
			switch status {
			case http.StatusOK:
				c.answer(r.Req, http.StatusOK, wire.JobState{ID: r.Job, State: wire.StateCancelled})
			case http.StatusConflict:
				c.abort(r, tries-1)
			default:
				c.retryLater(r.Req, "state service not reached")
			}
		})
	})
}

// updateHeader writes a job's header anew for a user, on the condition that it is as this controller
// knows it, and tells the status.
func (c *Core) updateHeader(id string, raw []byte, fn func(status int)) {
	key := headerKey(id)
	txn := wire.Txn{If: []wire.Cond{{Key: key, Version: c.control.versions[key]}}, Then: []wire.Change{{Put: key, Value: raw}}}
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(reply StateReply) {
		if reply.Status == http.StatusOK {
			c.written(wire.Event{Put: key, Value: raw, Version: reply.Txn.Revision})
		}
		fn(reply.Status)
	})
}
