package controller

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// The leader's write queue. What is dirty is written oldest first, one conditional transaction
// per job and round, within a budget below the state service's rate. What jobs wait for goes before
// counts, and counts before the removal of obsolete records.

// writeQueue is the leader's part that writes the records of jobs to the state service and
// deletes the records of jobs that are over. The budget of writes and the list of obsolete keys
// are the leader's, since other parts write and delete too.
type writeQueue struct {
	*leader
}

// write is one write of a job's records, sent again unchanged while in doubt.
type write struct {
	id       uint64
	txn      wire.Txn
	chunks   []int
	attempts []*attempt
	final    *finalRecord
	doubt    bool
}

// countsWait is how long a write may wait that tells of counts alone: finishes
// that come one by one share a write, and what tasks wait for goes first.
const countsWait = 2 * time.Second

// budgetPause is how long writes wait for the budget to recover.
const budgetPause = 20 * time.Millisecond

// flush writes what is dirty, oldest first: one conditional write per job and
// round, under the budget.
func (q *writeQueue) flush() {
	if !q.c.now.Before(q.authority) {
		return // under promises alone nothing can be written
	}
	if q.budget.paused(q.c.now) {
		return
	}
	deleted := false
	for _, j := range q.dueWrites() {
		if !j.urgent && !deleted { // counts never end: what comes after them would never be deleted
			q.deleteObsolete()
			deleted = true
		}
		if !q.writeJob(j) {
			q.pauseWrites(budgetPause)
			return
		}
	}
	if !deleted {
		q.deleteObsolete()
	}
}

// dueWrites lists the jobs whose write is due, urgent ones first.
func (q *writeQueue) dueWrites() []*job {
	var due []*job
	for _, j := range q.order {
		ripe := j.urgent || q.c.now.Sub(j.dirtyAt) >= countsWait
		if j.dirty && ripe && j.write == nil && !q.c.now.Before(j.holdUntil) {
			due = append(due, j)
		}
	}
	slices.SortStableFunc(due, func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return a.dirtyAt.Compare(b.dirtyAt)
	})
	return due
}

// writeJob sends the write that is due for a job, and reports whether the budget had room
// for it.
func (q *writeQueue) writeJob(j *job) bool {
	if !q.budget.allows(q.c.now, 1, j.urgent) { // before anything is encoded in vain
		return false
	}
	w := q.compose(j)
	if w == nil {
		return true
	}
	changes := min(len(w.txn.Then), q.budget.burst())
	if !q.budget.allows(q.c.now, changes, j.urgent) {
		j.undo(w) // what compose took must stay dirty, or it is never written
		return false
	}
	q.budget.spend(q.c.now, changes, j.urgent)
	j.urgent = false
	j.write = w
	q.send(j)
	return true
}

// pauseWrites holds all writes back for a moment.
func (q *writeQueue) pauseWrites(pause time.Duration) {
	q.budget.pausedUntil = q.c.now.Add(pause)
	q.c.after(pause, func() {})
}

// compose makes the write that is due for a job; nil: nothing is.
func (q *writeQueue) compose(j *job) *write {
	if !j.divided && j.tasksPerRecord > q.tasksPerRecord() && (q.c.allRun(firstVersionWithChains) || q.c.valuesLowered) {
		q.divide(j)
	}
	w := &write{id: q.c.rng.Uint64() >> 1} // no other leader's write may look like ours
	w.txn.If = []wire.Cond{q.leadershipCondition(), {Key: headerKey(j.id), Version: q.c.control.versions[headerKey(j.id)]}}
	settled, _ := reduction.Classify(j.graph, j.state)
	switch {
	case settled == reduction.Settled && len(j.attempts) == 0 && (!j.cancelled || len(q.c.chains.Successors(j.id)) == 0):
		q.composeFinal(j, w)
		return w
	case j.cancelled:
		j.dirty = false // nothing but the end is worth a write
		return nil
	}
	budget, size := q.c.cfg.Facts.State.Tightest().TxnOps, 0
	for n := range j.chunks {
		if !j.chunks[n].dirty || len(w.chunks) >= budget || size > 40<<10 {
			continue
		}
		rec, as := q.chunkRecord(j, n, w.id)
		key := j.chunkKey(n)
		w.txn.If = append(w.txn.If, wire.Cond{Key: key, Version: j.chunks[n].version})
		change := put(key, rec)
		size += 2 * len(change.Value)
		w.txn.Then = append(w.txn.Then, change)
		w.chunks = append(w.chunks, n)
		w.attempts = append(w.attempts, as...)
		j.chunks[n].dirty = false
	}
	if len(w.chunks) == 0 {
		j.dirty = false
		return nil
	}
	return w
}

// composeFinal moves the job from its header to its final record.
func (q *writeQueue) composeFinal(j *job, w *write) {
	if j.origin != nil {
		q.composeEnd(j, w)
		return
	}
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks, EndedMS: q.c.now.UnixMilli()}
	w.txn.Then = []wire.Change{put(finalKey(j.id), *w.final), {Delete: headerKey(j.id)}}
}

// chunkRecord encodes chunk n and lists its attempts that are not recorded yet.
func (q *writeQueue) chunkRecord(j *job, n int, id uint64) (taskRecord, []*attempt) {
	rec := taskRecord{Write: id, Next: j.chunks[n].lastAttempt}
	var fresh []*attempt
	for t := n * j.tasksPerRecord; t < min((n+1)*j.tasksPerRecord, j.spec.Tasks); t++ {
		if j.state.Status(t) == reduction.Completed {
			if k := len(rec.Done); k > 0 && rec.Done[k-1][1] == t-1 {
				rec.Done[k-1][1] = t
			} else {
				rec.Done = append(rec.Done, [2]int{t, t})
			}
		}
		if a := j.attempts[t]; a != nil {
			rec.Placed = append(rec.Placed, placedRecord{t, a.number, a.machine.id, a.session, a.machine.zone})
			if a.phase < attemptRecorded {
				fresh = append(fresh, a)
			}
		}
	}
	return rec, fresh
}

// send sends a job's write. While it is in doubt it is sent again unchanged: of
// two copies with the same conditions at most one is applied.
func (q *writeQueue) send(j *job) {
	c, w := q.c, j.write
	c.state(StateCall{Op: OpTxn, Txn: w.txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if c.lead != q.leader || j.write != w {
			return
		}
		switch {
		case r.Status == http.StatusOK:
			q.confirm(j, r.Txn.Revision)
		case r.Status == http.StatusConflict:
			q.reread(j)
		case r.Status == http.StatusBadRequest:
			// Too large: the coming limits hold, so no earlier version can come back, and
			// no copy of it is carried out any more. One that was may be on record.
			c.log(slog.LevelInfo, "write refused for its size", "job", j.id, "error", r.Txn.Error)
			c.valuesLowered = true
			q.reread(j)
		case r.Status == 0 || w.doubt:
			w.doubt = true
			c.after(retryPause, func() { q.resend(j, w) })
		default: // it did not run
			if r.Status == http.StatusTooManyRequests {
				q.pauseWrites(retryPause / 4)
			}
			q.discard(j)
		}
	})
}

func (q *writeQueue) resend(j *job, w *write) {
	if q.c.lead == q.leader && j.write == w {
		q.send(j)
	}
}

// confirm handles the confirmation that a job's write was applied.
func (q *writeQueue) confirm(j *job, revision uint64) {
	w := j.write
	j.write = nil
	if w.final != nil {
		q.removeJob(j, *w.final)
		if j.origin != nil && q.cells != nil {
			q.cells.rereadFence(fenceKey(j.origin.Home, j.id))
		}
		return
	}
	clean := true
	for _, n := range w.chunks {
		j.chunks[n].version = revision
	}
	for n := range j.chunks {
		clean = clean && !j.chunks[n].dirty
	}
	if clean {
		j.dirty = false
		q.settle(j)
	} else {
		j.dirtyAt = q.c.now
	}
	for _, a := range w.attempts {
		a.advance(attemptRecorded)
		switch {
		case j.attempts[a.task] != a:
		case j.cancelled || a.stopping:
			q.gone(a, reduction.Reset, proofNeverSent)
		default:
			a.machine.outbox = append(a.machine.outbox, a)
			q.hasToSend(a.machine)
		}
	}
}

// undo marks as dirty again what a write that is not made held.
func (j *job) undo(w *write) {
	for _, n := range w.chunks {
		j.chunks[n].dirty = true
	}
	j.dirty = true
	j.urgent = j.urgent || len(w.attempts) > 0 || w.final != nil
}

// discard gives up a write that did not run; what it held is dirty again.
func (q *writeQueue) discard(j *job) {
	j.undo(j.write)
	j.write = nil
	j.holdUntil = q.c.now.Add(retryPause / 2)
	q.c.after(retryPause/2, func() {})
	if j.cancelled {
		q.cancel(j)
		q.settle(j)
	} else if j.grant != nil {
		q.granted(j, j.grant)
	}
}

// reread settles a write that a condition failed: either an earlier copy of it
// was applied, or the records have changed under it.
func (q *writeQueue) reread(j *job) {
	c, w := q.c, j.write
	again := func() {
		if c.lead == q.leader && j.write == w {
			q.reread(j)
		}
	}
	c.sync(func(ok bool) {
		if c.lead != q.leader || j.write != w {
			return
		}
		if !ok {
			c.after(retryPause, again)
			return
		}
		c.readAll(taskPrefix+j.id+"/", leadCallTimeout, func(items []wire.Item, _ uint64, ok bool) {
			if c.lead != q.leader || j.write != w {
				return
			}
			if !ok {
				c.after(retryPause, again)
				return
			}
			q.resolve(j, items)
		})
	})
}

func (q *writeQueue) resolve(j *job, items []wire.Item) {
	w := j.write
	if w.final != nil && q.c.control.headers[j.id] == nil {
		q.confirm(j, 0)
		return
	}
	for _, it := range items {
		_, n, small, ok := splitChunk(it.Key)
		rec := decode[taskRecord](it.Value)
		if !ok || rec == nil || small != j.divided || n >= len(j.chunks) {
			continue
		}
		if rec.Write == w.id && slices.Contains(w.chunks, n) {
			q.confirm(j, it.Version)
			return
		}
	}
	q.discard(j)
}

// deleteObsolete removes task records whose job is over, a transaction at a time.
func (q *writeQueue) deleteObsolete() {
	// As many as there is budget for: more than a burst would never be allowed, and
	// none of them ever removed.
	n := min(len(q.obsoleteKeys), q.c.cfg.Facts.State.Tightest().TxnOps, q.budget.left(q.c.now))
	if n <= 0 {
		return
	}
	q.budget.spend(q.c.now, n, false)
	batch := q.obsoleteKeys[:n]
	q.obsoleteKeys = q.obsoleteKeys[n:]
	txn := wire.Txn{If: []wire.Cond{q.leadershipCondition()}}
	for _, key := range batch {
		txn.Then = append(txn.Then, wire.Change{Delete: key})
	}
	q.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if q.c.lead == q.leader && r.Status != http.StatusOK && r.Status != http.StatusConflict {
			q.obsoleteKeys = append(q.obsoleteKeys, batch...)
		}
	})
}
