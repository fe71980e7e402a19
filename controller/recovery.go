package controller

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// Recovery: a new leader rebuilds its state from the records of earlier leaders.

// readRecords reads the records of earlier leaders: first the headers, at least as recent as this
// leader's election, then the rentals and task records, which no other controller writes from now
// on. It starts over after a failure until all have been read.
func (l *leader) readRecords() {
	c := l.c
	retry := func() {
		c.after(retryPause, func() {
			if c.lead == l {
				l.readRecords()
			}
		})
	}
	read := func(prefix string, next func([]wire.Item)) {
		c.readAll(prefix, leadCallTimeout, func(items []wire.Item, _ uint64, ok bool) {
			switch {
			case c.lead != l:
			case !ok:
				retry()
			default:
				next(items)
			}
		})
	}
	c.sync(func(ok bool) {
		switch {
		case c.lead != l:
		case !ok:
			retry()
		default:
			read(rentalPrefix, func(rentals []wire.Item) {
				read(taskPrefix, func(tasks []wire.Item) {
					l.readOptional(read, func() { l.rebuild(tasks, rentals) })
				})
			})
		}
	})
}

// getWithRetry reads a key, with retries until the state service responds, for example after a write
// whose result is unknown. fn gets nil if the key doesn't exist. The retries end when this
// controller no longer leads.
func (l *leader) getWithRetry(key string, fn func(*wire.Item)) {
	l.c.callStateService(StateCall{Op: OpGet, Key: key, Timeout: leadCallTimeout}, func(r StateReply) {
		switch {
		case l.c.lead != l:
		case r.Status == http.StatusOK:
			fn(&r.Item)
		case r.Status == http.StatusNotFound:
			fn(nil)
		default:
			l.c.after(retryPause, func() {
				if l.c.lead == l {
					l.getWithRetry(key, fn)
				}
			})
		}
	})
}

// optionalRecords is a kind of records that belongs to an optional feature.
type optionalRecords struct {
	prefix  string
	restore func([]wire.Item)
}

// readOptional reads the records of the optional features that are enabled, one kind after the
// other.
func (l *leader) readOptional(read func(prefix string, next func([]wire.Item)), done func()) {
	var kinds []optionalRecords
	if l.zones != nil {
		kinds = append(kinds, optionalRecords{zonePrefix, l.zones.restoreZones})
	}
	if l.spillover != nil {
		kinds = append(kinds, optionalRecords{floorPrefix, l.spillover.restoreFloors}, optionalRecords{fencePrefix, l.spillover.restoreFences})
	}
	if l.spreading != nil {
		kinds = append(kinds, optionalRecords{movesKey, l.spreading.restoreMovesRecord})
	}
	var next func(i int)
	next = func(i int) {
		if i == len(kinds) {
			done()
			return
		}
		read(kinds[i].prefix, func(items []wire.Item) {
			kinds[i].restore(items)
			next(i + 1)
		})
	}
	next(0)
}

// rebuild builds the leader's state from the records. Tasks that were running are pending again,
// but can't be placed until their recorded attempt is proved to have ended.
func (l *leader) rebuild(tasks, rentals []wire.Item) {
	c := l.c
	for id, h := range c.watchCache.headers {
		if l.canAdd(id, h) {
			l.addJob(id, h)
		}
	}
	for _, it := range tasks {
		id, n, divided, ok := parseChunkKey(it.Key)
		rec := decode[taskRecord](it.Value)
		j := l.jobs[id]
		if j != nil && divided && !j.divided {
			l.divide(j) // the undivided records sort before the divided ones, so they are restored by now
		}
		if !ok || rec == nil || j == nil || divided != j.divided || n >= len(j.chunks) {
			l.obsoleteKeys = append(l.obsoleteKeys, it.Key)
			continue
		}
		l.restore(j, n, rec, it.Version)
	}
	for _, j := range l.jobsByAcceptance {
		reduction.Recover(j.state)
		if c.effectivelyCancelled(j.id) {
			l.cancel(j)
		}
		l.finalizeIfSettled(j)
	}
	l.autoscaler.restore(rentals)
	l.recovered = true
	l.fetchUnknownOutcomes()
	c.log(slog.LevelInfo, "recovered", "token", l.token, "jobs", len(l.jobs), "machines", len(l.machines),
		"after", c.now.Sub(l.elected))
	for _, id := range slices.Sorted(maps.Keys(c.machineHints)) {
		if m := l.machines[id]; (m == nil || !m.up) && c.machineHints[id].Addr != "" {
			l.probe(id, c.machineHints[id].Addr)
		}
	}
	l.schedulePlacement()
}

// restore applies the record of chunk n: its completed tasks, and its attempts as active ones.
func (l *leader) restore(j *job, n int, rec *taskRecord, version uint64) {
	if j.divided { // a divided record replaces what the undivided one contains for its tasks
		for t := n * j.tasksPerRecord; t < min((n+1)*j.tasksPerRecord, j.spec.Tasks); t++ {
			if a := j.attempts[t]; a != nil {
				delete(j.attempts, t)
				a.machine.remove(a)
			}
			j.state.Accumulate(t, reduction.Reset)
		}
	}
	j.chunks[n].version, j.chunks[n].lastAttempt = version, rec.Next
	for _, r := range rec.Done {
		for t := max(r[0], 0); t <= r[1] && t < j.spec.Tasks; t++ {
			j.state.Accumulate(t, reduction.Succeeded)
			j.hasStarted = true
		}
	}
	for _, p := range rec.Placed {
		if p.Task < 0 || p.Task >= j.spec.Tasks {
			continue
		}
		m := l.machine(p.Machine)
		// The run command, if it was sent, has the token of an earlier leader, so l.token - 1 at most.
		a := &attempt{job: j, task: p.Task, number: p.Attempt, machine: m, session: p.Session,
			token: l.token - 1, phase: attemptSent, restored: true, placed: l.elected}
		m.zone = p.Zone
		j.attempts[p.Task] = a
		m.add(a)
		j.state.Start(p.Task)
	}
}
