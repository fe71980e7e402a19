package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/mesh"
)

// A state service that is down must not cost the workers their leases. While
// the leader can't reach it, it keeps its authority as long as every other
// controller promises, for a short time each, that it can't reach the state
// service either and won't claim the leadership. With all of them bound nobody
// can take over; one that still reaches the state service refuses, so a leader
// that is cut off alone is replaced. Under promises nothing is written, so
// nothing is accepted, placed or told done: only leases are renewed, and what
// is recorded already is carried on.
//
// What the leader doesn't hear of meanwhile is bounded by what it has verifiably
// seen (see renewalDeadline), never by when it last renewed: its copy may be older than that.

// promiseLife is how long one promise binds.
const promiseLife = 1200 * time.Millisecond

// promises holds both sides: those that this controller gave, and as leader
// those that it was given.
type promises struct {
	started       time.Time
	bound         time.Time // no claim before
	round         uint64
	asks          map[uint64]*promiseRound
	promisedUntil time.Time // authority by promises
	onPromises    bool
}

// promiseRound is one question to all other controllers.
type promiseRound struct {
	token               uint64
	sent                time.Time
	granted             map[string]bool
	lastProcessStart    time.Time // when the process was started, at the latest, that started last
	unknownCancellation bool      // somebody may have told users what no answer tells
}

// promiseBinds reports whether a promise forbids a claim. A process that has just
// started doesn't know what the one before it promised, so it waits a promise's
// life, unless nobody has ever led. A leader key that names this member is no
// excuse: a claim of the earlier process may have been applied after it promised.
func (c *Core) promiseBinds() bool {
	p := &c.promises
	return c.now.Before(p.bound) || c.control.token > 0 && c.now.Before(p.started.Add(bindFor))
}

// bindFor is the life of a promise by a clock that may run fast.
const bindFor = promiseLife + promiseLife/500

// askPromises begins a round once renewals have failed for a while, or reads for half
// of the time that there may be between two.
func (l *leader) askPromises() {
	c, p := l.c, &l.c.promises
	fine := c.now.Sub(l.renewed) < c.op.LeaderLifetime()/3 && c.now.Sub(l.headersKnownUntil()) < c.cancellationWindow()/2
	if fine {
		return
	}
	p.round++
	r := &promiseRound{token: l.token, sent: c.now, granted: map[string]bool{}}
	p.asks = map[uint64]*promiseRound{p.round: r, p.round - 1: p.asks[p.round-1]}
	c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Ask{Ask: &mesh.PromiseAsk{
		Token: l.token, Round: p.round, LifeMs: uint64(promiseLife.Milliseconds()), Revision: c.control.revision}}})
}

// promiseAsked answers a leader that can't reach the state service. Whether we
// can is found out by trying.
func (c *Core) promiseAsked(from string, ask *mesh.PromiseAsk) {
	answer := func(granted bool) {
		p := &mesh.Promise{Token: ask.Token, Round: ask.Round, Granted: granted}
		if granted {
			p.UpMs = uint64(c.now.Sub(c.promises.started).Milliseconds())
			p.Cancelled = c.cancelledSince(ask.Revision)
		}
		c.sendMesh(from, &mesh.Envelope{Body: &mesh.Envelope_Promise{Promise: p}})
	}
	// A leader that was refused alone may not have heard that another was elected
	// before the state service went down for all. The newer token tells it.
	if c.lead != nil && !c.entitled() && ask.Token > c.lead.token {
		c.stepDown("another one leads")
	}
	free := func() bool {
		older := !c.control.loaded || c.control.token < ask.Token // our copy, than the election
		return c.lead == nil && !c.claiming && c.control.token <= ask.Token &&
			(older || c.control.leader != nil && c.control.leader.Member == from) &&
			ask.LifeMs <= uint64(promiseLife.Milliseconds())
	}
	if !free() {
		answer(false)
		return
	}
	c.syncAlways(func(reached bool) {
		if reached || !free() {
			answer(false)
			return
		}
		c.promises.bound = c.now.Add(bindFor)
		answer(true)
	})
}

// cancelledSince lists the unfinished jobs that this controller knows to be
// cancelled by changes after a revision: whatever this process has told users of
// cancellations is among them, or in the leader's own copy.
func (c *Core) cancelledSince(revision uint64) []string {
	var jobs []string
	for id, h := range c.control.headers {
		if h.Cancelled && c.control.versions[headerKey(id)] > revision {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// promiseAnswered counts an answer. Authority is extended only where nobody else can
// have led meanwhile: if there is a gap, every other controller must have run all
// through it, and know no newer token. Likewise a round in which every other one has run
// for as long as the leader hasn't read, and tells what it knows of cancellations, is as
// good as a read of them: nobody else could have told a user of one.
func (c *Core) promiseAnswered(from string, a *mesh.Promise) {
	p, l := &c.promises, c.lead
	r := p.asks[a.Round]
	if l == nil || r == nil || r.token != a.Token || l.token != a.Token || !a.Granted {
		return
	}
	for _, id := range a.Cancelled {
		if !c.noteCancelled(id) && !l.recovered {
			r.unknownCancellation = true // a task of it may be found on a machine and not be known
		}
	}
	up := time.Duration(float64(a.UpMs) * (1 - clockDrift) * float64(time.Millisecond))
	if started := c.now.Add(-up); started.After(r.lastProcessStart) {
		r.lastProcessStart = started
	}
	r.granted[from] = true
	held := c.grantedUntil()
	if len(r.granted) < len(c.cfg.Others) || !c.now.Before(held) && r.lastProcessStart.After(held) {
		return
	}
	// Where a process has started since, who ran before it may have told users.
	if !r.unknownCancellation && !r.lastProcessStart.After(l.headersKnownUntil()) && r.sent.After(l.headersPromisedUntil) {
		l.headersPromisedUntil = r.sent
	}
	if until := r.sent.Add(promiseLife - promiseLife/500 - authorityMargin); until.After(p.promisedUntil) {
		p.promisedUntil = until
	}
	if !p.onPromises {
		p.onPromises = true
		c.log(slog.LevelInfo, "state service not reached by any controller: leading on promises", "token", l.token)
	}
}

// noteCancelled notes that another controller knows a job to be cancelled, which is
// as durable as if we had read it. It reports whether the job is known here.
func (c *Core) noteCancelled(id string) bool {
	h := c.control.headers[id]
	if h == nil {
		return false
	}
	if !h.Cancelled {
		cancelled := *h
		cancelled.Cancelled = true
		c.headerChanged(id, &cancelled)
	}
	return true
}

// stateServiceBack handles the return of the state service for the leader.
func (l *leader) stateServiceBack() {
	p := &l.c.promises
	if p.onPromises {
		p.onPromises = false
		l.c.log(slog.LevelInfo, "state service reached again", "token", l.token)
		l.wantPlacement()
	}
}
