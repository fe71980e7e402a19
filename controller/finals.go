package controller

import (
	"net/http"
	"time"

	"pumicefront/wire"
)

// Final records: how jobs that are over ended.

// finals remembers jobs that are over. A final state never changes, so it can
// be told without asking the state service.
type finals struct {
	jobs     map[string]finalRecord
	order    []string
	asks     map[string][]*finalAsk // questions whose read has not been sent yet
	queue    []string               // their jobs, first come first served
	timerSet bool                   // a timer goes on with the queue
}

// finalAsk is a question that waits for its turn to read a final record.
type finalAsk struct {
	fn   func(known)
	told bool
}

func (a *finalAsk) tell(k known) {
	if !a.told {
		a.told = true
		a.fn(k)
	}
}

const (
	maxFinalAsks     = 512
	finalReadTimeout = time.Second // users wait for two
)

const maxFinals = 4096

func (f *finals) init() {
	f.jobs = map[string]finalRecord{}
	f.asks = map[string][]*finalAsk{}
}

func (f *finals) add(job string, r finalRecord) {
	if _, ok := f.jobs[job]; ok {
		return
	}
	if len(f.order) >= maxFinals {
		delete(f.jobs, f.order[0])
		f.order = f.order[1:]
	}
	f.jobs[job] = r
	f.order = append(f.order, job)
}

// known is what the state service has of a job.
type known uint8

const (
	knownNot    known = iota // nobody submitted it
	knownUnsure              // the state service gave no answer
	knownActive
	knownFinal
)

// lookup finds out what the state service has of a job now.
func (c *Core) lookup(job string, fn func(known)) {
	if _, ok := c.finals.jobs[job]; ok {
		fn(knownFinal)
		return
	}
	if !wire.ValidID(job) {
		fn(knownNot)
		return
	}
	c.sync(func(ok bool) {
		switch {
		case !ok:
			fn(knownUnsure)
		case c.control.headers[job] != nil && c.control.headers[job].Origin != nil:
			fn(knownNot) // another cell's: its users are told there
		case c.control.headers[job] != nil:
			c.lookupEnds(job, fn)
		default:
			c.lookupFinal(job, fn)
		}
	})
}

// lookupFinal is asked after the header was seen to be missing: a job moves from
// its header to its final record in one transaction.
//
// Reads go first come first served, and one whose user has stopped waiting is
// still made: where there are more questions than reads, refusing at random
// could refuse the same job every time, and it would count as forgotten.
func (c *Core) lookupFinal(job string, fn func(known)) {
	f := &c.finals
	if len(f.asks[job]) == 0 {
		if len(f.queue) >= maxFinalAsks {
			fn(knownUnsure)
			return
		}
		f.queue = append(f.queue, job)
	}
	ask := &finalAsk{fn: fn}
	f.asks[job] = append(f.asks[job], ask)
	c.after(finalReadTimeout, func() { ask.tell(knownUnsure) })
	c.readFinals()
}

// readFinals sends the reads that are due, as fast as the budget allows. What is
// asked after a read was sent needs another: it may have been too early.
func (c *Core) readFinals() {
	f := &c.finals
	for len(f.queue) > 0 && c.reads.AllowN(c.now, 1) {
		job := f.queue[0]
		f.queue = f.queue[1:]
		asks := f.asks[job]
		delete(f.asks, job)
		c.state(StateCall{Op: OpGet, Key: finalKey(job), Timeout: userCallTimeout}, func(r StateReply) {
			rec := decode[finalRecord](r.Item.Value)
			k := knownUnsure
			switch {
			case r.Status == http.StatusOK && rec != nil:
				c.jobEnded(job, *rec)
				k = knownFinal
			case r.Status == http.StatusNotFound:
				k = knownNot
			}
			for _, a := range asks {
				a.tell(k)
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
