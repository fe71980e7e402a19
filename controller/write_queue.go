package controller

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// The leader's write queue. Dirty jobs are written oldest first, with one conditional transaction
// per job and round, within a budget below the write rate limit of the state service. Urgent writes,
// which tasks or users wait for, go first. At most one deletion of obsolete records follows per round,
// and then the writes that only record completed tasks.

// writeQueue writes the records of jobs to the state service and deletes the records of finished
// jobs. The write budget and the list of obsolete keys are fields of the leader, since other
// components write and delete too.
type writeQueue struct {
	*leader
}

// write is one write of a job's records. It is retried unchanged while its result is unknown.
type write struct {
	id       uint64
	txn      wire.Txn
	chunks   []int        // numbers of the chunks whose records it writes
	attempts []*attempt   // those that it records for the first time
	final    *finalRecord // nil unless it ends the job
	inDoubt  bool         // an earlier copy of it got no reply, and may have been applied
}

// progressWriteDelay is how long a write that only records completed tasks is delayed, so that tasks
// that complete one by one share a write, and urgent writes go first.
const progressWriteDelay = 2 * time.Second

// budgetPause is how long writes pause when the budget is exhausted.
const budgetPause = 20 * time.Millisecond

// flush sends the writes that are due, urgent ones and then the oldest first: one conditional write
// per job and round, within the budget.
func (q *writeQueue) flush() {
	if !q.c.now.Before(q.authority) {
		return // with only a peer lease, nothing can be written
	}
	if q.budget.paused(q.c.now) {
		return
	}
	deleted := false
	for _, j := range q.dueWrites() {
		// Deletions go before non-urgent writes once per round: such writes are always due on a busy
		// cluster, and records would never be deleted after them.
		if !j.urgent && !deleted {
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

// dueWrites lists the jobs whose write is due: urgent ones first, then by the time since which they
// are dirty.
func (q *writeQueue) dueWrites() []*job {
	var due []*job
	for _, j := range q.jobsByAcceptance {
		ready := j.urgent || q.c.now.Sub(j.dirtyAt) >= progressWriteDelay
		if j.dirty && ready && j.write == nil && !q.c.now.Before(j.noWriteBefore) {
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

// writeJob sends the write that is due for a job. It reports false if the budget doesn't allow it.
func (q *writeQueue) writeJob(j *job) bool {
	if !q.budget.allows(q.c.now, 1, j.urgent) { // saves encoding the records
		return false
	}
	w := q.compose(j)
	if w == nil {
		return true
	}
	changes := min(len(w.txn.Then), q.budget.burst())
	if !q.budget.allows(q.c.now, changes, j.urgent) {
		j.markUnwritten(w) // compose marked the chunks as clean; they must be written later
		return false
	}
	q.budget.spend(q.c.now, changes, j.urgent)
	j.urgent = false
	j.write = w
	q.send(j)
	return true
}

// pauseWrites stops all writes of the queue for the given duration.
func (q *writeQueue) pauseWrites(pause time.Duration) {
	q.budget.pausedUntil = q.c.now.Add(pause)
	q.c.after(pause, func() {})
}

// compose returns the write that is due for a job and marks its chunks as clean, or returns nil if
// none is due.
func (q *writeQueue) compose(j *job) *write {
	if !j.divided && j.tasksPerRecord > q.tasksPerRecord() && (q.c.allMembersRun(firstVersionWithDependencies) || q.c.valueLimitLowered) {
		q.divide(j)
	}
	w := &write{id: q.c.rng.Uint64() >> 1} // random, so that no other leader's write has the same ID
	w.txn.If = []wire.Cond{q.leadershipCondition(), {Key: headerKey(j.id), Version: q.c.watchCache.versions[headerKey(j.id)]}}
	verdict := reduction.Judge(j.graph, j.state)
	switch {
	case verdict == reduction.Settled && len(j.attempts) == 0 && (!j.cancelled || len(q.c.dependencies.Successors(j.id)) == 0):
		q.composeFinal(j, w)
		return w
	case j.cancelled:
		j.dirty = false // of a cancelled job only the final record is written
		return nil
	}
	maxChanges, size := q.c.cfg.Facts.State.MinLimits().TxnOps, 0
	for n := range j.chunks {
		if !j.chunks[n].dirty || len(w.chunks) >= maxChanges || size > 40<<10 {
			continue
		}
		rec, unrecorded := q.chunkRecord(j, n, w.id)
		key := j.chunkKey(n)
		w.txn.If = append(w.txn.If, wire.Cond{Key: key, Version: j.chunks[n].version})
		change := put(key, rec)
		size += 2 * len(change.Value)
		w.txn.Then = append(w.txn.Then, change)
		w.chunks = append(w.chunks, n)
		w.attempts = append(w.attempts, unrecorded...)
		j.chunks[n].dirty = false
	}
	if len(w.chunks) == 0 {
		j.dirty = false
		return nil
	}
	return w
}

// composeFinal composes the transaction that replaces a job's header by its final record.
func (q *writeQueue) composeFinal(j *job, w *write) {
	if j.origin != nil {
		q.composeFence(j, w)
		return
	}
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks, EndedMS: q.c.now.UnixMilli()}
	w.txn.Then = []wire.Change{put(finalKey(j.id), *w.final), {Delete: headerKey(j.id)}}
}

// chunkRecord returns the record of chunk n and the active attempts that are not recorded yet.
func (q *writeQueue) chunkRecord(j *job, n int, id uint64) (taskRecord, []*attempt) {
	rec := taskRecord{Write: id, Next: j.chunks[n].lastAttempt}
	var unrecorded []*attempt
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
				unrecorded = append(unrecorded, a)
			}
		}
	}
	return rec, unrecorded
}

// send sends a job's write. While the result is unknown, the write is retried unchanged: of two
// copies with the same conditions, at most one is applied.
func (q *writeQueue) send(j *job) {
	c, w := q.c, j.write
	c.callStateService(StateCall{Op: OpTxn, Txn: w.txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if c.lead != q.leader || j.write != w {
			return
		}
		switch {
		case r.Status == http.StatusOK:
			q.confirm(j, r.Txn.Revision)
		case r.Status == http.StatusConflict:
			q.reread(j)
		case r.Status == http.StatusBadRequest:
			// A record is too large: the upcoming limits are in effect, so no earlier version can run
			// any more, and no copy of this write can be applied from now on. An earlier copy may
			// have been applied, so the records are read.
			c.log(slog.LevelInfo, "write refused for its size", "job", j.id, "error", r.Txn.Error)
			c.valueLimitLowered = true
			q.reread(j)
		case r.Status == 0 || w.inDoubt:
			w.inDoubt = true
			c.after(retryPause, func() { q.resend(j, w) })
		default: // the write was not executed
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

// confirm processes a job's write that was applied at the given revision.
func (q *writeQueue) confirm(j *job, revision uint64) {
	w := j.write
	j.write = nil
	if w.final != nil {
		q.removeJob(j, *w.final)
		if j.origin != nil && q.spillover != nil {
			q.spillover.rereadFence(fenceKey(j.origin.Home, j.id))
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
		q.finalizeIfSettled(j)
	} else {
		j.dirtyAt = q.c.now
	}
	for _, a := range w.attempts {
		a.advance(attemptRecorded)
		switch {
		case j.attempts[a.task] != a:
		case j.cancelled || a.stopping:
			q.removeAttempt(a, reduction.Reset, proofNeverSent)
		default:
			a.machine.pendingRuns = append(a.machine.pendingRuns, a)
			q.enqueueForSending(a.machine)
		}
	}
}

// markUnwritten marks the contents of a write that was not made as dirty again.
func (j *job) markUnwritten(w *write) {
	for _, n := range w.chunks {
		j.chunks[n].dirty = true
	}
	j.dirty = true
	j.urgent = j.urgent || len(w.attempts) > 0 || w.final != nil
}

// discard drops a write that was not executed and marks its contents as dirty again.
func (q *writeQueue) discard(j *job) {
	j.markUnwritten(j.write)
	j.write = nil
	j.noWriteBefore = q.c.now.Add(retryPause / 2)
	q.c.after(retryPause/2, func() {})
	if j.cancelled {
		q.cancel(j)
		q.finalizeIfSettled(j)
	} else if j.grant != nil {
		q.applyGrant(j, j.grant)
	}
}

// reread reads the job's records to determine the result of a write whose conditions failed: either
// an earlier copy of it was applied, or the records were changed by another write.
func (q *writeQueue) reread(j *job) {
	c, w := q.c, j.write
	retry := func() {
		if c.lead == q.leader && j.write == w {
			q.reread(j)
		}
	}
	c.sync(func(ok bool) {
		if c.lead != q.leader || j.write != w {
			return
		}
		if !ok {
			c.after(retryPause, retry)
			return
		}
		c.readAll(taskPrefix+j.id+"/", leadCallTimeout, func(items []wire.Item, _ uint64, ok bool) {
			if c.lead != q.leader || j.write != w {
				return
			}
			if !ok {
				c.after(retryPause, retry)
				return
			}
			q.resolve(j, items)
		})
	})
}

// resolve confirms a job's write if the records that were read show that it was applied, and
// discards it otherwise.
func (q *writeQueue) resolve(j *job, items []wire.Item) {
	w := j.write
	if w.final != nil && q.c.watchCache.headers[j.id] == nil {
		q.confirm(j, 0)
		return
	}
	for _, it := range items {
		_, n, divided, ok := parseChunkKey(it.Key)
		rec := decode[taskRecord](it.Value)
		if !ok || rec == nil || divided != j.divided || n >= len(j.chunks) {
			continue
		}
		if rec.Write == w.id && slices.Contains(w.chunks, n) {
			q.confirm(j, it.Version)
			return
		}
	}
	q.discard(j)
}

// deleteObsolete deletes obsolete records in one transaction.
func (q *writeQueue) deleteObsolete() {
	// No more than the budget has left: a transaction larger than its burst would never be allowed,
	// and no record would ever be deleted.
	n := min(len(q.obsoleteKeys), q.c.cfg.Facts.State.MinLimits().TxnOps, q.budget.available(q.c.now))
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
	q.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if q.c.lead == q.leader && r.Status != http.StatusOK && r.Status != http.StatusConflict {
			q.obsoleteKeys = append(q.obsoleteKeys, batch...)
		}
	})
}
