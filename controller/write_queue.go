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
func (l *leader) flush() {
	if !l.c.now.Before(l.authority) {
		return // under promises alone nothing can be written
	}
	if l.budget.paused(l.c.now) {
		return
	}
	deleted := false
	for _, j := range l.dueWrites() {
		if !j.urgent && !deleted { // counts never end: what comes after them would never be deleted
			l.deleteObsolete()
			deleted = true
		}
		if !l.writeJob(j) {
			l.pauseWrites(budgetPause)
			return
		}
	}
	if !deleted {
		l.deleteObsolete()
	}
}

// dueWrites lists the jobs whose write is due, urgent ones first.
func (l *leader) dueWrites() []*job {
	var due []*job
	for _, j := range l.order {
		ripe := j.urgent || l.c.now.Sub(j.dirtyAt) >= countsWait
		if j.dirty && ripe && j.write == nil && !l.c.now.Before(j.holdUntil) {
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
func (l *leader) writeJob(j *job) bool {
	if !l.budget.allows(l.c.now, 1, j.urgent) { // before anything is encoded in vain
		return false
	}
	w := l.compose(j)
	if w == nil {
		return true
	}
	changes := min(len(w.txn.Then), l.budget.burst())
	if !l.budget.allows(l.c.now, changes, j.urgent) {
		j.undo(w) // what compose took must stay dirty, or it is never written
		return false
	}
	l.budget.spend(l.c.now, changes, j.urgent)
	j.urgent = false
	j.write = w
	l.send(j)
	return true
}

// pauseWrites holds all writes back for a moment.
func (l *leader) pauseWrites(pause time.Duration) {
	l.budget.pausedUntil = l.c.now.Add(pause)
	l.c.after(pause, func() {})
}

// compose makes the write that is due for a job; nil: nothing is.
func (l *leader) compose(j *job) *write {
	if !j.divided && j.tasksPerRecord > l.tasksPerRecord() && (l.c.allRun(firstVersionWithChains) || l.c.valuesLowered) {
		l.divide(j)
	}
	w := &write{id: l.c.rng.Uint64() >> 1} // no other leader's write may look like ours
	w.txn.If = []wire.Cond{l.leadershipCondition(), {Key: headerKey(j.id), Version: l.c.control.versions[headerKey(j.id)]}}
	settled, _ := reduction.Classify(j.graph, j.state)
	switch {
	case settled == reduction.Settled && len(j.attempts) == 0 && (!j.cancelled || len(l.c.chains.Successors(j.id)) == 0):
		l.composeFinal(j, w)
		return w
	case j.cancelled:
		j.dirty = false // nothing but the end is worth a write
		return nil
	}
	budget, size := l.c.cfg.Facts.State.Tightest().TxnOps, 0
	for n := range j.chunks {
		if !j.chunks[n].dirty || len(w.chunks) >= budget || size > 40<<10 {
			continue
		}
		rec, as := l.chunkRecord(j, n, w.id)
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
func (l *leader) composeFinal(j *job, w *write) {
	if j.origin != nil {
		l.composeEnd(j, w)
		return
	}
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks, EndedMS: l.c.now.UnixMilli()}
	w.txn.Then = []wire.Change{put(finalKey(j.id), *w.final), {Delete: headerKey(j.id)}}
}

// chunkRecord encodes chunk n and lists its attempts that are not recorded yet.
func (l *leader) chunkRecord(j *job, n int, id uint64) (taskRecord, []*attempt) {
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
func (l *leader) send(j *job) {
	c, w := l.c, j.write
	c.state(StateCall{Op: OpTxn, Txn: w.txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if c.lead != l || j.write != w {
			return
		}
		switch {
		case r.Status == http.StatusOK:
			l.confirm(j, r.Txn.Revision)
		case r.Status == http.StatusConflict:
			l.reread(j)
		case r.Status == http.StatusBadRequest:
			// Too large: the coming limits hold, so no earlier version can come back, and
			// no copy of it is carried out any more. One that was may be on record.
			c.log(slog.LevelInfo, "write refused for its size", "job", j.id, "error", r.Txn.Error)
			c.valuesLowered = true
			l.reread(j)
		case r.Status == 0 || w.doubt:
			w.doubt = true
			c.after(retryPause, func() { l.resend(j, w) })
		default: // it did not run
			if r.Status == http.StatusTooManyRequests {
				l.pauseWrites(retryPause / 4)
			}
			l.discard(j)
		}
	})
}

func (l *leader) resend(j *job, w *write) {
	if l.c.lead == l && j.write == w {
		l.send(j)
	}
}

// confirm handles the confirmation that a job's write was applied.
func (l *leader) confirm(j *job, revision uint64) {
	w := j.write
	j.write = nil
	if w.final != nil {
		l.removeJob(j, *w.final)
		if j.origin != nil && l.cells != nil {
			l.cells.rereadFence(fenceKey(j.origin.Home, j.id))
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
		l.settle(j)
	} else {
		j.dirtyAt = l.c.now
	}
	for _, a := range w.attempts {
		a.advance(attemptRecorded)
		switch {
		case j.attempts[a.task] != a:
		case j.cancelled || a.stopping:
			l.gone(a, reduction.Reset, proofNeverSent)
		default:
			a.machine.outbox = append(a.machine.outbox, a)
			l.hasToSend(a.machine)
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
func (l *leader) discard(j *job) {
	j.undo(j.write)
	j.write = nil
	j.holdUntil = l.c.now.Add(retryPause / 2)
	l.c.after(retryPause/2, func() {})
	if j.cancelled {
		l.cancel(j)
		l.settle(j)
	} else if j.grant != nil {
		l.granted(j, j.grant)
	}
}

// reread settles a write that a condition failed: either an earlier copy of it
// was applied, or the records have changed under it.
func (l *leader) reread(j *job) {
	c, w := l.c, j.write
	again := func() {
		if c.lead == l && j.write == w {
			l.reread(j)
		}
	}
	c.sync(func(ok bool) {
		if c.lead != l || j.write != w {
			return
		}
		if !ok {
			c.after(retryPause, again)
			return
		}
		c.readAll(taskPrefix+j.id+"/", leadCallTimeout, func(items []wire.Item, _ uint64, ok bool) {
			if c.lead != l || j.write != w {
				return
			}
			if !ok {
				c.after(retryPause, again)
				return
			}
			l.resolve(j, items)
		})
	})
}

func (l *leader) resolve(j *job, items []wire.Item) {
	w := j.write
	if w.final != nil && l.c.control.headers[j.id] == nil {
		l.confirm(j, 0)
		return
	}
	for _, it := range items {
		_, n, small, ok := splitChunk(it.Key)
		rec := decode[taskRecord](it.Value)
		if !ok || rec == nil || small != j.divided || n >= len(j.chunks) {
			continue
		}
		if rec.Write == w.id && slices.Contains(w.chunks, n) {
			l.confirm(j, it.Version)
			return
		}
	}
	l.discard(j)
}

// deleteObsolete removes task records whose job is over, a transaction at a time.
func (l *leader) deleteObsolete() {
	// As many as there is budget for: more than a burst would never be allowed, and
	// none of them ever removed.
	n := min(len(l.obsoleteKeys), l.c.cfg.Facts.State.Tightest().TxnOps, l.budget.left(l.c.now))
	if n <= 0 {
		return
	}
	l.budget.spend(l.c.now, n, false)
	batch := l.obsoleteKeys[:n]
	l.obsoleteKeys = l.obsoleteKeys[n:]
	txn := wire.Txn{If: []wire.Cond{l.leadershipCondition()}}
	for _, key := range batch {
		txn.Then = append(txn.Then, wire.Change{Delete: key})
	}
	l.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if l.c.lead == l && r.Status != http.StatusOK && r.Status != http.StatusConflict {
			l.obsoleteKeys = append(l.obsoleteKeys, batch...)
		}
	})
}
