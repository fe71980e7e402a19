package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/mesh"
)

// Peer leases keep the leader in office during an outage of the state service, so that the workers
// don't lose their machine leases. While the leader can't reach the state service, it keeps its
// authority as long as every other controller grants it a short peer lease. By granting it, the
// controller states that it can't reach the state service either, and commits to make no claim to
// the leadership until the peer lease expires. Since the grant must be unanimous, no other controller can take over
// meanwhile. A controller that still reaches the state service refuses, so a leader that alone is
// partitioned from it is replaced. Under a peer lease nothing can be written, so no job is
// accepted, placed or reported as done: the leader only renews machine leases and continues what
// is already recorded.
//
// How long the leader may act without learning of changes is bounded by the age of its copy of the
// headers (see renewalDeadline), never by its last lease renewal: the copy may be older than that.

// peerLeaseDuration is the duration of one peer lease.
const peerLeaseDuration = 1200 * time.Millisecond

// peerLeaseState is the state of both sides of the peer lease protocol: the leases that this controller
// has granted, and those that it was granted as leader.
type peerLeaseState struct {
	processStarted time.Time
	noClaimBefore  time.Time                  // until then this controller must not claim the leadership
	lastRound      uint64                     // number of the last round that this controller started
	rounds         map[uint64]*peerLeaseRound // the last two, by number
	until          time.Time                  // when the leader's authority by peer lease ends
	active         bool                       // the leader has had a peer lease since it last reached the state service
}

// peerLeaseRound is one request for a peer lease to all other controllers.
type peerLeaseRound struct {
	token               uint64
	sent                time.Time
	granted             map[string]bool
	latestPeerStart     time.Time // latest possible start time of the most recently started peer process
	unknownCancellation bool      // during recovery, a peer reported a cancelled job without a header here
}

// mustHoldOff reports whether a granted peer lease forbids this controller to claim the
// leadership. A process that has just started doesn't know what its predecessor granted, so it
// waits for the duration of a peer lease, unless there has never been a leader. A leader key that
// names this member doesn't shorten the wait: a claim of the earlier process may have been applied
// after that process granted a peer lease.
func (c *Core) mustHoldOff() bool {
	p := &c.peerLease
	return c.now.Before(p.noClaimBefore) || c.watchCache.token > 0 && c.now.Before(p.processStarted.Add(peerLeaseHoldOff))
}

// peerLeaseHoldOff is for how long a controller doesn't claim the leadership after it granted a peer lease: the
// lease's duration, and 1/500 of it, twice clockDrift, since this controller's clock may run fast.
const peerLeaseHoldOff = peerLeaseDuration + peerLeaseDuration/500

// maxPeerUptimeMS bounds the time in milliseconds for which a peer says that its process has run: 100 years, which a
// duration can hold.
const maxPeerUptimeMS = 100 * 365 * 24 * 3600 * 1000

// requestPeerLease requests a peer lease when the last successful renewal is older than a third of the
// lease's time to live, or the copy of the headers is older than half of the cancellation window.
func (l *leader) requestPeerLease() {
	c, p := l.c, &l.c.peerLease
	recent := c.now.Sub(l.renewed) < c.op.LeaderLeaseTTL()/3 && c.now.Sub(l.headersKnownUntil()) < c.cancellationWindow()/2
	if recent {
		return
	}
	p.lastRound++
	r := &peerLeaseRound{token: l.token, sent: c.now, granted: map[string]bool{}}
	p.rounds = map[uint64]*peerLeaseRound{p.lastRound: r, p.lastRound - 1: p.rounds[p.lastRound-1]}
	c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Ask{Ask: &mesh.PromiseAsk{
		Token: l.token, Round: p.lastRound, LifeMs: uint64(peerLeaseDuration.Milliseconds()), Revision: c.watchCache.revision}}})
}

// handlePeerLeaseRequest handles a peer lease request from a leader that can't reach the state service. It
// grants the lease only if a read by this controller fails as well.
func (c *Core) handlePeerLeaseRequest(from string, ask *mesh.PromiseAsk) {
	answer := func(granted bool) {
		p := &mesh.Promise{Token: ask.Token, Round: ask.Round, Granted: granted}
		if granted {
			p.UpMs = uint64(c.now.Sub(c.peerLease.processStarted).Milliseconds())
			p.Cancelled = c.cancelledSince(ask.Revision)
		}
		c.sendMesh(from, &mesh.Envelope{Body: &mesh.Envelope_Promise{Promise: p}})
	}
	// A former leader that lost access to the state service first may not have learned that another
	// one was elected before the outage became general. The newer token in the request shows it.
	if c.lead != nil && !c.hasAuthority() && ask.Token > c.lead.token {
		c.stepDown("another one leads")
	}
	mayGrant := func() bool {
		predatesElection := !c.watchCache.loaded || c.watchCache.token < ask.Token // the copy predates the election
		return c.lead == nil && !c.claiming && c.watchCache.token <= ask.Token &&
			(predatesElection || c.watchCache.leader != nil && c.watchCache.leader.Member == from) &&
			ask.LifeMs <= uint64(peerLeaseDuration.Milliseconds())
	}
	if !mayGrant() {
		answer(false)
		return
	}
	c.forceSync(func(reached bool) {
		if reached || !mayGrant() {
			answer(false)
			return
		}
		c.peerLease.noClaimBefore = c.now.Add(peerLeaseHoldOff)
		answer(true)
	})
}

// cancelledSince lists the unfinished jobs that were cancelled, according to this controller's
// copy, by changes after a revision. Every cancellation that this process has confirmed to a user
// is in this list or in the leader's own copy.
func (c *Core) cancelledSince(revision uint64) []string {
	var jobs []string
	for id, h := range c.watchCache.headers {
		if h.Cancelled && c.watchCache.versions[headerKey(id)] > revision {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// handlePeerLeaseResponse handles a peer's response to a peer lease request. Authority is extended only if
// no other controller can have led meanwhile: if there is a gap since the previous authority,
// every other controller must have been running throughout the gap, and know no newer token.
// Likewise, a round is equivalent to a read of the headers if every other controller has been
// running since the leader's last read and reports the cancellations that it knows: no other
// process can have confirmed a cancellation to a user.
func (c *Core) handlePeerLeaseResponse(from string, a *mesh.Promise) {
	p, l := &c.peerLease, c.lead
	r := p.rounds[a.Round]
	if l == nil || r == nil || r.token != a.Token || l.token != a.Token || !a.Granted {
		return
	}
	for _, id := range a.Cancelled {
		if !c.applyPeerCancellation(id) && !l.recovered {
			r.unknownCancellation = true // a machine may run a task of this job, which recovery has not loaded yet
		}
	}
	up := time.Duration(float64(min(a.UpMs, maxPeerUptimeMS)) * (1 - clockDrift) * float64(time.Millisecond))
	if started := c.now.Add(-up); started.After(r.latestPeerStart) {
		r.latestPeerStart = started
	}
	r.granted[from] = true
	previousUntil := c.leasedUntil()
	if len(r.granted) < len(c.cfg.Others) || !c.now.Before(previousUntil) && r.latestPeerStart.After(previousUntil) {
		return
	}
	// If a peer process started after headersKnownUntil, the process before it may have confirmed a cancellation that
	// no response contains.
	if !r.unknownCancellation && !r.latestPeerStart.After(l.headersKnownUntil()) && r.sent.After(l.headersConfirmedUntil) {
		l.headersConfirmedUntil = r.sent
	}
	if until := r.sent.Add(peerLeaseDuration - peerLeaseDuration/500 - authorityMargin); until.After(p.until) {
		p.until = until
	}
	if !p.active {
		p.active = true
		c.log(slog.LevelInfo, "state service not reached by any controller: leading on promises", "token", l.token)
	}
}

// applyPeerCancellation applies a cancellation that another controller has read from the state
// service, which is as durable as if this controller had read it. It reports whether this
// controller has the job's header.
func (c *Core) applyPeerCancellation(id string) bool {
	h := c.watchCache.headers[id]
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

// endPeerLease ends the operation under peer leases once a lease renewal has succeeded.
func (l *leader) endPeerLease() {
	p := &l.c.peerLease
	if p.active {
		p.active = false
		l.c.log(slog.LevelInfo, "state service reached again", "token", l.token)
		l.schedulePlacement()
	}
}
