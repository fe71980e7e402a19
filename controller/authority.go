package controller

import (
	"log/slog"
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// The leader's authority to act. It starts when a lease renewal is sent, ends before the lease can
// expire, and is bounded further by how long the leader's copy of the job headers may miss
// cancellations that were already confirmed to users.

const (
	authorityMargin          = 50 * time.Millisecond // by which authority ends before the lease
	tokenRaiseInterval       = 8 * time.Second       // minimum time between two raises of the fencing token
	endedAttemptRaiseDelay   = 30 * time.Second      // time after which the token is raised so that the worker may forget an ended attempt
	stoppedAttemptRaiseDelay = 4 * time.Second       // time after which the token is raised for a stopped attempt that no heartbeat has listed
)

// hasAuthority reports whether this controller may act as leader now. It is checked before every
// output of the leader.
func (c *Core) hasAuthority() bool {
	return c.now.Before(c.Authority())
}

// Authority returns the time until which this controller may act as leader, as known now. The
// shell (package server) checks it again before it sends an output that was delayed.
func (c *Core) Authority() time.Time {
	if c.lead == nil {
		return time.Time{}
	}
	until := c.leasedUntil()
	if deadline := c.lead.renewalDeadline(); deadline.Before(until) {
		until = deadline
	}
	return until
}

// leasedUntil returns when the leader's lease or the peer lease ends, whichever is later.
func (c *Core) leasedUntil() time.Time {
	if c.peerLease.until.After(c.lead.authority) {
		return c.peerLease.until
	}
	return c.lead.authority
}

// scheduleRenewal schedules the next lease renewal, with a read of the headers if the last one is too
// old and a peer lease request if renewals or reads have failed for some time.
func (l *leader) scheduleRenewal() {
	interval := min(l.c.op.LeaderLeaseTTL(), l.c.cancellationWindow()) / 4
	l.c.after(interval, func() {
		if l.c.lead != l {
			return
		}
		l.renewLease()
		if l.c.now.Sub(l.c.watchCache.lastRead) >= interval {
			l.c.forceSync(func(bool) {}) // see renewalDeadline
		}
		l.requestPeerLease()
		l.scheduleRenewal()
	})
}

// renewLease renews the leader's lease in the state service, and steps down if the lease has expired.
func (l *leader) renewLease() {
	c, sent := l.c, l.c.now
	c.callStateService(StateCall{Op: OpRenew, Lease: l.lease, Timeout: c.op.LeaderLeaseTTL()}, func(r StateReply) {
		if c.lead != l {
			return
		}
		switch r.Status {
		case http.StatusOK:
			l.extend(sent, c.op.LeaderLeaseTTL())
			l.endPeerLease()
		case http.StatusNotFound:
			c.stepDown("lease ended")
		}
	})
}

// raiseToken increments the fencing token, which fences all commands sent so far: once a worker
// has received the new token, it rejects every command copy that carries an older one.
func (l *leader) raiseToken(why string) {
	if !l.mayRaiseToken(l.c.now) {
		return
	}
	l.raisingToken = true
	l.tokenRaisedAt = l.c.now
	c := l.c
	txn := wire.Txn{
		If:   []wire.Cond{l.leadershipCondition(), {Key: tokenKey, Version: c.watchCache.versions[tokenKey]}},
		Then: []wire.Change{put(tokenKey, tokenRecord{l.token + 1})},
	}
	c.log(slog.LevelDebug, "raising token", "token", l.token+1, "why", why)
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if c.lead != l {
			return
		}
		l.raisingToken = false
		if r.Status == http.StatusOK {
			c.applyOwnChange(wire.Event{Put: tokenKey, Value: txn.Then[0].Value, Version: r.Txn.Revision})
		}
	})
}

// tokenChanged adopts a raised token. While this controller holds the leader key, no other
// controller raises the token, so a raise whose response was lost is this controller's own too.
func (c *Core) tokenChanged() {
	if c.lead != nil && c.watchCache.token > c.lead.token {
		c.lead.token = c.watchCache.token
	}
}

// headersKnownUntil returns the time up to which the leader's copy of the headers contains every
// cancellation that was confirmed to a user: when the last read applied to the copy was sent, or
// when the last peer lease round that is equivalent to such a read was sent.
func (l *leader) headersKnownUntil() time.Time {
	if read := l.c.watchCache.lastRead; read.After(l.headersConfirmedUntil) {
		return read
	}
	return l.headersConfirmedUntil
}

// renewalDeadline returns the time from which the leader must not answer any worker until it has
// a more recent copy of the headers. A user's cancellation may have been confirmed right after
// headersKnownUntil. A machine lease that is renewed before this deadline expires at most cancel_s
// after headersKnownUntil, which stops the task. Settings that leave hardly any time between
// lease_s and cancel_s can't be met by leases alone; the leader then also relies on reading the
// headers several times a second.
func (l *leader) renewalDeadline() time.Time {
	return l.headersKnownUntil().Add(l.c.cancellationWindow())
}

// cancellationWindow is the longest time after a cancellation was confirmed to a user during which
// the lease of a machine that may run a task of the job can still be renewed.
func (c *Core) cancellationWindow() time.Duration {
	w := c.cfg.Facts.Workers
	return max(config.Seconds(w.CancelS-w.LeaseS*(1+2*clockDrift))-cancellationMargin, c.op.LeaderLeaseTTL()/2)
}

// cancellationMargin allows for clock differences and for the time that a worker needs to stop its
// tasks when its lease expires.
const cancellationMargin = 500 * time.Millisecond
