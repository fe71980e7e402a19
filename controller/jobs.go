package controller

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// job is an unfinished job in the leader's memory. Its tasks are the nodes of a
// reduction; the attempts in force are those not proved gone.
type job struct {
	id        string
	spec      wire.Job
	cancelled bool
	// No user was told of the cancellation before: it was not in what the leader had seen.
	cancelledAt    time.Time
	accepted       time.Time
	ready          time.Time // all that it needs was done: its times count from then
	due            deadline
	graph          *reduction.Graph
	state          *reduction.State
	attempts       map[int]*attempt
	tasksPerRecord int
	chunks         []chunk
	divided        bool     // chunks are smaller than the header says, see shrink
	undividedKeys  []string // records of the larger ones, which stay until the job is over
	retryAt        map[int]time.Time
	fails          map[int]int
	avoid          map[string]bool
	dirty          bool // chunks hold what their records don't, or the job is over
	dirtyAt        time.Time
	urgent         bool // its write starts tasks or tells the end; counts alone can wait
	write          *write
	holdUntil      time.Time
	ended          bool // the final record is written
	terms          *scheduler.Terms
	begun          bool // a task has run, ever
	disrupted      bool // has lost an attempt to a failure, or gave way: goes on first
}

// chunk is a run of tasks that share a record.
type chunk struct {
	version uint64
	next    uint64
	dirty   bool
}

// attempt is one try of a task on a machine, in force until it is proved gone.
type attempt struct {
	job         *job
	task        int
	number      uint64
	machine     *machine
	session     uint64 // that its run command is addressed to
	token       uint64 // the highest that its run may have been sent with
	recorded    bool   // the record is written: run may be sent
	sent        bool
	restored    bool // an earlier leader's: its run is not sent again
	seen        bool // a report has shown it
	running     bool
	placedByAge bool // placed after waiting its turn
	placed      time.Time
	since       time.Time // running since
	stopping    bool
	stoppedAt   time.Time
	grace       float64
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

func (a *attempt) taskID() string { return wire.TaskID(a.job.id, a.task) }

func jobEach(j *wire.Job) scheduler.Resources {
	return scheduler.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
}

func capOf(t wire.MachineType) scheduler.Resources {
	return scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// demandOf holds what of a demand follows from the job's description.
func (c *Core) demandOf(j *wire.Job) *scheduler.Demand {
	return &scheduler.Demand{
		Job: j.ID, Class: j.Class, Team: j.Team, Total: j.Tasks, Each: jobEach(j), Measure: c.measure, Types: j.Types, Zone: j.Zone,
		OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot, Image: j.Image,
		Rank: slices.Index(wire.Priorities, j.Priority), Service: j.Kind == wire.KindService, Gang: j.Kind == wire.KindGang,
		InZone: map[string]int{},
	}
}

// rebuild makes the leader's state from the records: what was running is
// pending again, but stays off the frontier until its attempt is proved gone.
func (l *leader) rebuild(tasks, hires []wire.Item) {
	c := l.c
	for id, h := range c.control.headers {
		l.addJob(id, h)
	}
	for _, it := range tasks {
		id, n, small, ok := splitChunk(it.Key)
		rec := decode[taskRecord](it.Value)
		j := l.jobs[id]
		if j != nil && small && !j.divided {
			l.divide(j) // the larger records come first, by their names
		}
		if !ok || rec == nil || j == nil || small != j.divided || n >= len(j.chunks) {
			l.obsoleteKeys = append(l.obsoleteKeys, it.Key)
			continue
		}
		l.restore(j, n, rec, it.Version)
	}
	for _, j := range l.order {
		reduction.Recover(j.state)
		if c.withdrawn(j.id) {
			l.cancel(j)
		}
		l.settle(j)
	}
	l.fleet.restore(l, hires)
	l.recovered = true
	l.fetchEnds()
	c.log(slog.LevelInfo, "recovered", "token", l.token, "jobs", len(l.jobs), "machines", len(l.machines),
		"after", c.now.Sub(l.elected))
	for _, id := range slices.Sorted(maps.Keys(c.hints)) {
		if m := l.machines[id]; (m == nil || !m.up) && c.hints[id].Addr != "" {
			l.probe(id, c.hints[id].Addr)
		}
	}
	l.wantPlacement()
}

func (l *leader) restore(j *job, n int, rec *taskRecord, version uint64) {
	if j.divided { // it stands for its tasks instead of what a larger record says of them
		for t := n * j.tasksPerRecord; t < min((n+1)*j.tasksPerRecord, j.spec.Tasks); t++ {
			if a := j.attempts[t]; a != nil {
				delete(j.attempts, t)
				a.machine.remove(a)
			}
			j.state.Accumulate(t, reduction.Reset)
		}
	}
	j.chunks[n].version, j.chunks[n].next = version, rec.Next
	for _, r := range rec.Done {
		for t := r[0]; t <= r[1] && t < j.spec.Tasks; t++ {
			j.state.Accumulate(t, reduction.Succeeded)
			j.begun = true
		}
	}
	for _, p := range rec.Placed {
		if p.Task >= j.spec.Tasks {
			continue
		}
		m := l.machine(p.Machine)
		a := &attempt{job: j, task: p.Task, number: p.Attempt, machine: m, session: p.Session,
			token: l.token - 1, recorded: true, sent: true, restored: true, placed: l.elected}
		m.zone = p.Zone
		j.attempts[p.Task] = a
		m.add(a)
		j.state.Start(p.Task)
	}
}

func (l *leader) addJob(id string, h *headerRecord) *job {
	per := max(1, h.PerChunk)
	g := reduction.Independent(h.Job.Tasks)
	j := &job{
		id: id, spec: h.Job, accepted: time.UnixMilli(h.AcceptedMS), ready: time.UnixMilli(h.AcceptedMS),
		graph: g, state: reduction.NewState(g), attempts: map[int]*attempt{}, tasksPerRecord: per,
		chunks:  make([]chunk, (h.Job.Tasks+per-1)/per),
		retryAt: map[int]time.Time{}, fails: map[int]int{}, avoid: map[string]bool{},
	}
	j.terms = &scheduler.Terms{Job: id, Team: h.Job.Team, Rank: slices.Index(wire.Priorities, h.Job.Priority),
		Each: jobEach(&h.Job), CheckpointS: h.Job.CheckpointS}
	if j.spec.DeadlineS != nil {
		j.due = deadline{last: &j.spec, from: j.accepted}
	}
	l.guaranteesAt = time.Time{}
	l.jobs[id] = j
	for _, s := range l.c.chains.Successors(id) { // they may be known first
		if later := l.jobs[s]; later != nil {
			l.inheritUrgency(later)
		}
	}
	l.inheritUrgency(j)
	if !l.blocked(j) {
		l.becameReady(j)
	}
	at, _ := slices.BinarySearchFunc(l.order, j, func(a, b *job) int {
		if n := a.accepted.Compare(b.accepted); n != 0 {
			return n
		}
		return strings.Compare(a.id, b.id)
	})
	l.order = slices.Insert(l.order, at, j)
	return j
}

// header takes in a change of a job's header.
func (l *leader) header(id string, h *headerRecord) {
	j := l.jobs[id]
	switch {
	case h == nil:
		// Only we remove headers; the write that did it is confirmed in its own time.
		return
	case j == nil: // it may be cancelled already: a copy that is read anew shows no steps
		j = l.addJob(id, h)
		l.c.log(slog.LevelInfo, "job accepted", "job", id, "class", h.Job.Class, "team", h.Job.Team, "tasks", h.Job.Tasks)
		l.wantPlacement()
	}
	if l.c.withdrawn(id) && !j.cancelled {
		l.c.log(slog.LevelInfo, "job cancelled", "job", id)
		l.cancel(j)
		l.settle(j)
	}
}

// cancel counts every unfinished task as failed and stops what is in force.
func (l *leader) cancel(j *job) {
	if !j.cancelled {
		j.cancelled, j.cancelledAt = true, l.headersKnownUntil()
	}
	for t := range j.spec.Tasks {
		j.state.Accumulate(t, reduction.Cancelled)
	}
	for _, a := range j.sortedAttempts() {
		l.stop(a, 0)
	}
}

func (j *job) sortedAttempts() []*attempt {
	as := make([]*attempt, 0, len(j.attempts))
	for _, a := range j.attempts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int { return a.task - b.task })
	return as
}

func (j *job) touch(task int, now time.Time) {
	j.chunks[task/j.tasksPerRecord].dirty = true
	j.mark(now)
}

func (j *job) mark(now time.Time) {
	if !j.dirty {
		j.dirty, j.dirtyAt = true, now
	}
}

// gone takes an attempt out of force; the caller has proof.
func (l *leader) gone(a *attempt, o reduction.Outcome, why string) {
	j := a.job
	if j.attempts[a.task] != a {
		return
	}
	delete(j.attempts, a.task)
	a.machine.remove(a)
	j.disrupted = j.disrupted || a.seen && o == reduction.Reset
	j.state.Accumulate(a.task, o)
	if !j.ended {
		j.touch(a.task, l.c.now)
	}
	level := slog.LevelDebug
	if o != reduction.Succeeded && !j.cancelled {
		level = slog.LevelInfo
	}
	l.c.log(level, "attempt gone", "job", j.id, "task", a.task, "attempt", a.number, "machine", a.machine.id, "why", why)
	l.settle(j)
	l.wantPlacement()
}

// finish counts a reported finish.
func (l *leader) finish(j *job, task int) {
	if j.state.Status(task) == reduction.Completed || j.cancelled {
		return
	}
	j.state.Accumulate(task, reduction.Succeeded)
	j.touch(task, l.c.now)
	if a := j.attempts[task]; a != nil { // another attempt won: this one has no use
		l.stop(a, 0)
	}
	l.settle(j)
}

// settle classifies a job; when nothing is pending, running or in force, its
// final record is due.
func (l *leader) settle(j *job) {
	if j.ended || len(j.attempts) > 0 {
		return
	}
	if j.state.Count(reduction.Pending) == 0 && j.state.Count(reduction.Running) == 0 {
		j.mark(l.c.now)
		j.urgent = true
	}
}

// countsWait is how long a write may wait that tells of counts alone: finishes
// that come one by one share a write, and what tasks wait for goes first.
const countsWait = 2 * time.Second

// flush writes what is dirty, oldest first: one conditional write per job and
// round, under the budget.
func (l *leader) flush() {
	if !l.c.now.Before(l.authority) {
		return // under promises alone nothing can be written
	}
	if l.c.now.Before(l.flushAt) {
		return
	}
	var due []*job
	for _, j := range l.order {
		if j.dirty && j.write == nil && !l.c.now.Before(j.holdUntil) && (j.urgent || l.c.now.Sub(j.dirtyAt) >= countsWait) {
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
	swept := false
	for _, j := range due {
		if !j.urgent && !swept { // counts never end: what comes after them would never be swept
			l.deleteObsolete()
			swept = true
		}
		if !l.budgetAllows(1, j.urgent) { // before anything is encoded in vain
			l.pauseWrites(20 * time.Millisecond)
			return
		}
		w := l.compose(j)
		if w == nil {
			continue
		}
		n := min(len(w.txn.Then), l.writes.Burst())
		if !l.budgetAllows(n, j.urgent) {
			j.undo(w) // what compose took must stay dirty, or it is never written
			l.pauseWrites(20 * time.Millisecond)
			return
		}
		l.spendBudget(n, j.urgent)
		j.urgent = false
		j.write = w
		l.send(j)
	}
	if !swept {
		l.deleteObsolete()
	}
}

// mayWrite tells whether the budget has n changes left.
func (l *leader) budgetAllows(n int, pressing bool) bool {
	has := func(b *rate.Limiter) bool { return b.TokensAt(l.c.now) >= float64(n) }
	return has(l.writes) && (pressing || has(l.backgroundWrites))
}

func (l *leader) spendBudget(n int, pressing bool) {
	l.writes.AllowN(l.c.now, n)
	if !pressing {
		l.backgroundWrites.AllowN(l.c.now, n)
	}
}

// pauseWrites holds all writes back for a moment.
func (l *leader) pauseWrites(pause time.Duration) {
	l.flushAt = l.c.now.Add(pause)
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
	w.final = &finalRecord{Cancelled: j.cancelled, Tasks: j.spec.Tasks, EndedMS: l.c.now.UnixMilli()}
	w.txn.Then = []wire.Change{put(finalKey(j.id), *w.final), {Delete: headerKey(j.id)}}
}

// perChunk is how many tasks go into a record now.
func (l *leader) tasksPerRecord() int { return tasksPerRecord(l.c.cfg.Facts.State.Tightest().ValueKB) }

func (j *job) chunkKey(n int) string {
	if j.divided {
		return dividedChunkKey(j.id, n)
	}
	return chunkKey(j.id, n)
}

// shrink divides a job into smaller chunks than its header says: an earlier version has
// fixed there how many tasks share a record, and that may be more than may be written
// now. The larger records stay as they are, and a small one, once it is written, stands
// for its tasks instead. No earlier version could read this, so it waits until none can
// come back.
func (l *leader) divide(j *job) {
	per := l.tasksPerRecord()
	chunks := make([]chunk, (j.spec.Tasks+per-1)/per)
	for n := range chunks {
		for t := n * per; t < min((n+1)*per, j.spec.Tasks); t++ {
			of := j.chunks[t/j.tasksPerRecord]
			chunks[n].next = max(chunks[n].next, of.next)
			chunks[n].dirty = chunks[n].dirty || of.dirty
		}
	}
	for n := range j.chunks {
		if j.chunks[n].version > 0 {
			j.undividedKeys = append(j.undividedKeys, chunkKey(j.id, n))
		}
	}
	j.tasksPerRecord, j.chunks, j.divided = per, chunks, true
}

// chunkRecord encodes chunk n and lists its attempts that are not recorded yet.
func (l *leader) chunkRecord(j *job, n int, id uint64) (taskRecord, []*attempt) {
	rec := taskRecord{Write: id, Next: j.chunks[n].next}
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
			if !a.recorded {
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

// confirm takes in that a job's write was applied.
func (l *leader) confirm(j *job, revision uint64) {
	w := j.write
	j.write = nil
	if w.final != nil {
		l.removeJob(j, *w.final)
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
		a.recorded = true
		switch {
		case j.attempts[a.task] != a:
		case j.cancelled || a.stopping:
			l.gone(a, reduction.Reset, "never sent")
		default:
			a.machine.outbox = append(a.machine.outbox, a)
			l.hasToSend(a.machine)
		}
	}
}

func (l *leader) removeJob(j *job, f finalRecord) {
	j.ended = true
	delete(l.jobs, j.id)
	l.obsoleteKeys = append(l.obsoleteKeys, j.undividedKeys...) // nobody waits for their end
	for n := range j.chunks {
		if j.chunks[n].version > 0 {
			l.obsoleteKeys = append(l.obsoleteKeys, j.chunkKey(n))
		}
	}
	l.order = slices.DeleteFunc(l.order, func(o *job) bool { return o == j })
	l.c.jobEnded(j.id, f)
	delete(l.progressTold, j.id)
	if f.Cancelled {
		l.c.log(slog.LevelInfo, "job ended", "job", j.id, "state", "cancelled")
	} else {
		l.c.log(slog.LevelInfo, "job ended", "job", j.id, "state", "done", "after", l.c.now.Sub(j.accepted))
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

// sweep removes task records whose job is over, a transaction at a time.
func (l *leader) deleteObsolete() {
	// As many as there is budget for: more than a burst would never be allowed, and
	// none of them ever removed.
	left := min(l.writes.TokensAt(l.c.now), l.backgroundWrites.TokensAt(l.c.now))
	n := min(len(l.obsoleteKeys), l.c.cfg.Facts.State.Tightest().TxnOps, int(left))
	if n <= 0 {
		return
	}
	l.spendBudget(n, false)
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
