package controller

import (
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"pumicefront/cells"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The watch cache: every controller's copy of the records under watchedPrefix.

// watchCache is this controller's copy of the watched records as of a revision of the state service.
// Before a user request is answered from it, sync brings it up to date.
type watchCache struct {
	loaded, loading bool
	revision        uint64
	versions        map[string]uint64 // by key
	leader          *leaderRecord
	token           uint64
	headers         map[string]*headerRecord
	transfers       transferIndex
	epoch           cells.Epoch               // the last one allocated for a grant to another cell
	declaredGone    map[cells.Cell]goneRecord // cells that an operator declared to have ended the jobs granted to them
	memberVersions  map[string]int            // the software version that each member has recorded

	syncing     bool
	unreachable bool      // the last sync got no reply or "unavailable"; syncs are retried until that ends
	lastRead    time.Time // when the last read applied to the copy was sent
	syncWaiters []func(ok bool)
}

func (w *watchCache) init() {
	w.versions = map[string]uint64{}
	w.headers = map[string]*headerRecord{}
	w.transfers.init()
	w.memberVersions = map[string]int{}
	w.declaredGone = map[cells.Cell]goneRecord{}
}

// maxSyncWaiters is the maximum number of requests that wait for one sync.
const maxSyncWaiters = 512

// load reads all watched records and then watches them.
func (c *Core) load() {
	c.watchCache.loading = true
	sent := c.now
	c.readAll(watchedPrefix, userCallTimeout, func(items []wire.Item, revision uint64, ok bool) {
		if !ok {
			c.after(retryPause, c.load)
			return
		}
		keep := map[string]bool{}
		for _, it := range items {
			keep[it.Key] = true
		}
		for key, v := range c.watchCache.versions {
			if !keep[key] && v <= revision {
				c.applyEvent(wire.Event{Delete: key, Version: revision})
			}
		}
		for _, it := range items {
			c.applyEvent(wire.Event{Put: it.Key, Value: it.Value, Version: it.Version})
		}
		c.watchCache.revision = max(c.watchCache.revision, revision)
		c.watchCache.loaded, c.watchCache.loading, c.watchCache.unreachable = true, false, false
		c.recordRead(sent)
		c.watchRecords()
	})
}

// readAll reads every key with the prefix. It returns the revision of the first page, so that a
// watch started there reports all later changes, including those that later pages contain already.
func (c *Core) readAll(prefix string, timeout time.Duration, done func([]wire.Item, uint64, bool)) {
	var items []wire.Item
	revision := uint64(0)
	var page func(after string)
	page = func(after string) {
		c.callStateService(StateCall{Op: OpRange, Key: prefix, After: after, Timeout: timeout}, func(r StateReply) {
			if r.Status != http.StatusOK {
				done(nil, 0, false)
				return
			}
			if after == "" {
				revision = r.Page.Revision
			}
			items = append(items, r.Page.Items...)
			if r.Page.More && len(r.Page.Items) > 0 {
				page(r.Page.Items[len(r.Page.Items)-1].Key)
				return
			}
			done(items, revision, true)
		})
	}
	page("")
}

// watchRecords keeps one long-polling watch open.
func (c *Core) watchRecords() {
	call := StateCall{Op: OpWatch, Key: watchedPrefix, Revision: c.watchCache.revision, Wait: watchWait,
		Timeout: watchWait + userCallTimeout}
	sent := c.now
	c.callStateService(call, func(r StateReply) {
		switch r.Status {
		case http.StatusOK:
			c.applyWatch(r.Watch)
			c.recordRead(sent)
			c.watchRecords()
		case http.StatusGone:
			c.load()
		default:
			c.after(retryPause, c.watchRecords)
		}
	})
}

// sync calls fn once the copy contains everything that was written before the call. Requests that
// arrive while a read is in flight share the next read. While the state service is unreachable,
// sync fails at once.
func (c *Core) sync(fn func(ok bool)) {
	if c.watchCache.unreachable {
		fn(false)
		return
	}
	c.forceSync(fn)
}

// forceSync is like sync, but tries to read even while the state service is unreachable.
func (c *Core) forceSync(fn func(ok bool)) {
	if !c.watchCache.loaded || len(c.watchCache.syncWaiters) >= maxSyncWaiters {
		fn(false)
		return
	}
	c.watchCache.syncWaiters = append(c.watchCache.syncWaiters, fn)
	if !c.watchCache.syncing {
		c.watchCache.syncing = true
		c.startSync()
	}
}

func (c *Core) startSync() {
	if !c.reads.AllowN(c.now, 1) {
		c.after(10*time.Millisecond, c.startSync)
		return
	}
	waiters := c.watchCache.syncWaiters
	c.watchCache.syncWaiters = nil
	call := StateCall{Op: OpWatch, Key: watchedPrefix, Revision: c.watchCache.revision, Timeout: userCallTimeout}
	sent := c.now
	c.callStateService(call, func(r StateReply) {
		ok := r.Status == http.StatusOK
		c.watchCache.unreachable = r.Status == 0 || r.Status == http.StatusServiceUnavailable
		if ok {
			c.applyWatch(r.Watch)
			c.recordRead(sent)
		} else if r.Status == http.StatusGone && !c.watchCache.loading {
			// The revision was compacted. The long-polling watch would detect this only when its
			// wait ends, and until then no user request could be answered.
			c.watchCache.loaded = false
			c.load()
		}
		for _, fn := range waiters {
			fn(ok)
		}
		if len(c.watchCache.syncWaiters) > 0 {
			c.startSync()
			return
		}
		c.watchCache.syncing = false
		if c.watchCache.unreachable {
			c.after(retryPause, func() { c.forceSync(func(bool) {}) })
		}
	})
}

func (c *Core) applyWatch(w wire.WatchAnswer) {
	for _, e := range w.Events {
		// An event up to the copy's revision is skipped: replaying a creation whose deletion was
		// already applied would restore the key for a moment.
		if e.Version > c.watchCache.revision {
			c.applyEvent(e)
		}
	}
	c.watchCache.revision = max(c.watchCache.revision, w.Revision)
}

// recordRead records that the copy contains everything written before a read was sent.
func (c *Core) recordRead(sent time.Time) {
	if sent.After(c.watchCache.lastRead) {
		c.watchCache.lastRead = sent
	}
}

// applyOwnChange applies a change made by this controller. If the watch has already reported this change
// and later ones before the reply arrived, the change is skipped: applying it could restore a key
// that has been deleted since.
func (c *Core) applyOwnChange(e wire.Event) {
	if e.Version > c.watchCache.revision {
		c.applyEvent(e)
	}
}

// applyEvent applies one change, unless the copy already holds the same or a newer version of the
// key: the long-polling watch and the reads of sync overlap.
func (c *Core) applyEvent(e wire.Event) {
	key := e.Put + e.Delete
	if c.watchCache.versions[key] >= e.Version {
		return
	}
	if e.Delete != "" {
		delete(c.watchCache.versions, key)
	} else {
		c.watchCache.versions[key] = e.Version
	}
	switch {
	case key == leaderKey:
		c.watchCache.leader = decode[leaderRecord](e.Value)
		c.leaderChanged()
	case key == tokenKey:
		if t := decode[tokenRecord](e.Value); t != nil {
			c.watchCache.token = t.Token
			c.tokenChanged()
		}
	case key == typesKey:
		if t := decode[wire.MachineTypes](e.Value); t != nil {
			c.setTypes(t.Types)
		}
	case strings.HasPrefix(key, gonePrefix):
		if g := decode[goneRecord](e.Value); g != nil {
			c.watchCache.declaredGone[cells.Cell(strings.TrimPrefix(key, gonePrefix))] = *g
		}
	case key == epochKey:
		if e := decode[epochRecord](e.Value); e != nil {
			c.watchCache.epoch = e.Epoch
		}
	case strings.HasPrefix(key, versionPrefix):
		if v := decode[versionRecord](e.Value); v != nil {
			c.watchCache.memberVersions[strings.TrimPrefix(key, versionPrefix)] = v.Version
		}
	case strings.HasPrefix(key, headerPrefix):
		c.headerChanged(strings.TrimPrefix(key, headerPrefix), decode[headerRecord](e.Value))
	}
}

func decode[T any](raw []byte) *T {
	if len(raw) == 0 {
		return nil
	}
	v := new(T)
	if wire.Unmarshal(raw, v) != nil {
		return nil
	}
	return v
}

// headerChanged applies a created, changed or deleted (nil) job header to all that is derived from it.
func (c *Core) headerChanged(job string, h *headerRecord) {
	previous := c.watchCache.headers[job]
	c.watchCache.transfers.update(job, previous, h)
	switch {
	case h != nil:
		c.watchCache.headers[job] = h
		c.addDependencies(job, h)
	case previous != nil:
		delete(c.watchCache.headers, job)
		delete(c.progress, job)
		c.removeDependencies(job, previous)
	}
	if c.lead != nil && c.lead.recovered {
		c.lead.applyHeader(job, h)
	}
}

// setTypes replaces the machine types and derives measure from them. A type with an invalid amount is left out, or keeps
// its earlier description if there is one.
func (c *Core) setTypes(types []wire.MachineType) {
	previous := c.types
	c.types = map[string]wire.MachineType{}
	for _, t := range types {
		if err := t.CheckAmounts(); err != nil {
			c.log(slog.LevelError, "machine type has an invalid amount", "type", t.Name, "error", err)
			var known bool
			if t, known = previous[t.Name]; !known {
				continue
			}
		}
		c.types[t.Name] = t
	}
	c.measure = measureOf(c.types)
}

// measureOf derives a measure from the machine types: one GPU counts as much as its share of the cores of all types with
// GPUs, and one GB of memory as much as its share of the cores of all types.
func measureOf(types map[string]wire.MachineType) scheduler.Measure {
	var all, withGPUs scheduler.Resources
	for _, name := range slices.Sorted(maps.Keys(types)) { // sums of floats depend on the order
		t := types[name]
		all = all.Add(machineCapacity(t), 1)
		if t.GPUs > 0 {
			withGPUs = withGPUs.Add(machineCapacity(t), 1)
		}
	}
	var m scheduler.Measure
	if withGPUs.GPUs > 0 {
		m.CoresPerGPU = withGPUs.CPUs / withGPUs.GPUs
	}
	if all.MemoryGB > 0 {
		m.CoresPerGB = all.CPUs / all.MemoryGB
	}
	return m
}
