package controller

import (
	"net/http"
	"time"

	"pumicefront/wire"
)

// Final records, which hold the outcome of finished and cancelled jobs, and lookups of them.

// finals caches final records and queues reads of them. A final record never changes, so a cached
// one can be used without a read.
type finals struct {
	jobs     map[string]finalRecord
	order    []string                  // the jobs in jobs, the longest cached first
	pending  map[string][]*finalLookup // lookups by job whose read has not been sent yet
	queue    []string                  // the jobs in pending, in order of arrival
	timerSet bool                      // a timer is set that continues with the queue
}

// finalLookup is a lookup that waits for a read of a job's final record.
type finalLookup struct {
	fn   func(lookupResult)
	done bool
}

// complete completes the lookup, unless it has timed out.
func (a *finalLookup) complete(k lookupResult) {
	if !a.done {
		a.done = true
		a.fn(k)
	}
}

const (
	maxPendingFinals = 512
	finalReadTimeout = time.Second // below the two seconds that users wait
)

const maxCachedFinals = 4096

func (f *finals) init() {
	f.jobs = map[string]finalRecord{}
	f.pending = map[string][]*finalLookup{}
}

func (f *finals) add(job string, r finalRecord) {
	if _, ok := f.jobs[job]; ok {
		return
	}
	if len(f.order) >= maxCachedFinals {
		delete(f.jobs, f.order[0])
		f.order = f.order[1:]
	}
	f.jobs[job] = r
	f.order = append(f.order, job)
}

// lookupResult is the result of a lookup of a job in the records in the state service.
type lookupResult uint8

const (
	jobUnknown      lookupResult = iota // never accepted
	jobUndetermined                     // the state service did not respond
	jobUnfinished
	jobFinal
)

// lookup determines from up-to-date records in the state service whether a job was accepted and has ended.
func (c *Core) lookup(job string, fn func(lookupResult)) {
	if _, ok := c.finals.jobs[job]; ok {
		fn(jobFinal)
		return
	}
	if !wire.ValidJobID(job) {
		fn(jobUnknown)
		return
	}
	c.sync(func(ok bool) {
		switch {
		case !ok:
			fn(jobUndetermined)
		case c.watchCache.headers[job] != nil && c.watchCache.headers[job].Origin != nil:
			fn(jobUnknown) // granted by another cell, which answers the job's users
		case c.watchCache.headers[job] != nil:
			c.lookupOutcomes(job, fn)
		default:
			c.lookupFinal(job, fn)
		}
	})
}

// lookupFinal reads a job's final record. It is called after the header was found to be missing: one
// transaction replaces a job's header by its final record.
//
// Reads are made in order of arrival, even if the user no longer waits for the answer. If there are
// more lookups than reads and some were refused at random, the same job could be refused every time
// and would seem to be lost.
func (c *Core) lookupFinal(job string, fn func(lookupResult)) {
	f := &c.finals
	if len(f.pending[job]) == 0 {
		if len(f.queue) >= maxPendingFinals {
			fn(jobUndetermined)
			return
		}
		f.queue = append(f.queue, job)
	}
	pending := &finalLookup{fn: fn}
	f.pending[job] = append(f.pending[job], pending)
	c.after(finalReadTimeout, func() { pending.complete(jobUndetermined) })
	c.readFinals()
}

// readFinals sends the queued reads, as fast as the rate limit allows. A lookup that arrives after
// its job's read was sent needs another read: the first one may precede the final record.
func (c *Core) readFinals() {
	f := &c.finals
	for len(f.queue) > 0 && c.reads.AllowN(c.now, 1) {
		job := f.queue[0]
		f.queue = f.queue[1:]
		lookups := f.pending[job]
		delete(f.pending, job)
		c.callStateService(StateCall{Op: OpGet, Key: finalKey(job), Timeout: userCallTimeout}, func(r StateReply) {
			rec := decode[finalRecord](r.Item.Value)
			k := jobUndetermined
			switch {
			case r.Status == http.StatusOK && rec != nil:
				c.applyFinal(job, *rec)
				k = jobFinal
			case r.Status == http.StatusNotFound:
				k = jobUnknown
			}
			for _, a := range lookups {
				a.complete(k)
			}
		})
	}
	if len(f.queue) > 0 && !f.timerSet {
		f.timerSet = true
		c.after(10*time.Millisecond, func() {
			f.timerSet = false
			c.readFinals()
		})
	}
}
