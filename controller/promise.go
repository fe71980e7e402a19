package controller

import (
	"log/slog"
	"time"

	"pumicefront/config"
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

// promiseLife is how long one promise binds.
const promiseLife = 1200 * time.Millisecond

// rideMargin is what a cancellation may take from its record to the leader's
// copy while the state service still answers.
const rideMargin = 2 * time.Second

// promises holds both sides: those that this controller gave, and as leader
// those that it was given.
type promises struct {
	started time.Time
	bound   time.Time // no claim before
	round   uint64
	asks    map[uint64]*promiseRound
	ride    time.Time // authority by promises
	riding  bool
}

// promiseRound is one question to all other controllers.
type promiseRound struct {
	token   uint64
	sent    time.Time
	granted map[string]bool
}

// promiseBinds tells whether a promise forbids a claim. A process that has just
// started doesn't know what the one before it promised, so it waits a promise's
// life, unless nobody has ever led. A leader key that names this member is no
// excuse: a claim of the earlier process may have been applied after it promised.
func (c *Core) promiseBinds() bool {
	p := &c.promises
	return c.now.Before(p.bound) || c.control.token > 0 && c.now.Before(p.started.Add(bindFor))
}

// bindFor is the life of a promise by a clock that may run fast.
const bindFor = promiseLife + promiseLife/500

// askPromises begins a round once renewals have failed for a while.
func (l *lead) askPromises() {
	c, p := l.c, &l.c.promises
	if l.c.now.Sub(l.renewed) < c.op.LeaderLifetime()/3 || !c.entitled() {
		return
	}
	p.round++
	p.asks = map[uint64]*promiseRound{p.round: {l.token, c.now, map[string]bool{}}, p.round - 1: p.asks[p.round-1]}
	c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Ask{Ask: &mesh.PromiseAsk{
		Token: l.token, Round: p.round, LifeMs: uint64(promiseLife.Milliseconds())}}})
}

// promiseAsked answers a leader that can't reach the state service. Whether we
// can is found out by trying.
func (c *Core) promiseAsked(from string, ask *mesh.PromiseAsk) {
	answer := func(granted bool) {
		c.sendMesh(from, &mesh.Envelope{Body: &mesh.Envelope_Promise{
			Promise: &mesh.Promise{Token: ask.Token, Round: ask.Round, Granted: granted}}})
	}
	free := func() bool {
		return c.lead == nil && !c.claiming && c.control.token <= ask.Token &&
			(!c.control.loaded || c.control.leader != nil && c.control.leader.Member == from) &&
			ask.LifeMs <= uint64(promiseLife.Milliseconds())
	}
	if !free() {
		answer(false)
		return
	}
	c.reach(func(reached bool) {
		if reached || !free() {
			answer(false)
			return
		}
		c.promises.bound = c.now.Add(bindFor)
		answer(true)
	})
}

// promiseAnswered counts an answer. Only authority without a gap is extended:
// in a gap somebody else could have led. It ends early enough that what was
// cancelled unseen at its beginning has lost its lease within the time that a
// cancellation has.
func (c *Core) promiseAnswered(from string, a *mesh.Promise) {
	p, l := &c.promises, c.lead
	r := p.asks[a.Round]
	if l == nil || r == nil || r.token != a.Token || l.token != a.Token || !a.Granted {
		return
	}
	r.granted[from] = true
	if len(r.granted) < len(c.cfg.Others) || !c.entitled() {
		return
	}
	w := c.cfg.Facts.Workers
	most := l.renewed.Add(config.Seconds(w.CancelS-w.LeaseS*(1+2*clockDrift)) - rideMargin)
	until := r.sent.Add(promiseLife - promiseLife/500 - authorityMargin)
	if most.Before(until) {
		until = most
	}
	if until.After(p.ride) {
		p.ride = until
	}
	if !p.riding {
		p.riding = true
		c.log(slog.LevelInfo, "state service not reached by any controller: leading on promises", "token", l.token)
	}
}

// rideOver takes in that the state service answers the leader again.
func (l *lead) rideOver() {
	p := &l.c.promises
	if p.riding {
		p.riding = false
		l.c.log(slog.LevelInfo, "state service reached again", "token", l.token)
		l.wantPlacement()
	}
}
