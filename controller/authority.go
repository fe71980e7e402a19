package controller

import (
	"log/slog"
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// Authority to act as leader: from before a renewal was sent until its lease may have ended, and
// no longer than cancellations that the leader hasn't heard of allow.

const (
	authorityMargin      = 50 * time.Millisecond
	raisePause           = 8 * time.Second
	raiseToForgetAfter   = 30 * time.Second
	raiseForStoppedAfter = 4 * time.Second
)

// entitled reports whether this controller may act for the controllers now. It is
// asked at every output of the leader.
func (c *Core) entitled() bool {
	return c.now.Before(c.Authority())
}

// Authority returns until when this controller may act for the controllers, as far
// as is known now. The shell asks again before it sends what had to wait.
func (c *Core) Authority() time.Time {
	if c.lead == nil {
		return time.Time{}
	}
	until := c.grantedUntil()
	if deadline := c.lead.renewalDeadline(); deadline.Before(until) {
		until = deadline
	}
	return until
}

// grantedUntil is until when the leader's lease, or the promises of all others, last.
func (c *Core) grantedUntil() time.Time {
	if c.promises.promisedUntil.After(c.lead.authority) {
		return c.promises.promisedUntil
	}
	return c.lead.authority
}

func (l *leader) renewLater() {
	every := min(l.c.op.LeaderLifetime(), l.c.cancellationWindow()) / 4
	l.c.after(every, func() {
		if l.c.lead != l {
			return
		}
		l.renew()
		if l.c.now.Sub(l.c.control.lastRead) >= every {
			l.c.syncAlways(func(bool) {}) // see renewalDeadline
		}
		l.askPromises()
		l.renewLater()
	})
}

func (l *leader) renew() {
	c, sent := l.c, l.c.now
	c.state(StateCall{Op: OpTouch, Lease: l.lease, Timeout: c.op.LeaderLifetime()}, func(r StateReply) {
		if c.lead != l {
			return
		}
		switch r.Status {
		case http.StatusOK:
			l.extend(sent, c.op.LeaderLifetime())
			l.stateServiceBack()
		case http.StatusNotFound:
			c.stepDown("lease ended")
		}
	})
}

// raiseToken fences all commands sent so far: once a worker has seen the new
// token, no earlier copy of a command can run there any more.
func (l *leader) raiseToken(why string) {
	if !l.mayRaiseToken(l.c.now) {
		return
	}
	l.raisingToken = true
	l.tokenRaisedAt = l.c.now
	c := l.c
	txn := wire.Txn{
		If:   []wire.Cond{l.leadershipCondition(), {Key: tokenKey, Version: c.control.versions[tokenKey]}},
		Then: []wire.Change{put(tokenKey, tokenRecord{l.token + 1})},
	}
	c.log(slog.LevelDebug, "raising token", "token", l.token+1, "why", why)
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if c.lead != l {
			return
		}
		l.raisingToken = false
		if r.Status == http.StatusOK {
			c.written(wire.Event{Put: tokenKey, Value: txn.Then[0].Value, Version: r.Txn.Revision})
		}
	})
}

// tokenChanged takes over a raised token: while the leader key is ours, nobody
// else raises it, so even a raise whose answer was lost is ours.
func (c *Core) tokenChanged() {
	if c.lead != nil && c.control.token > c.lead.token {
		c.lead.token = c.control.token
	}
}

// headersKnownUntil is the moment up to which the leader knows of every cancellation that a user
// was told of: when the last read was sent that its copy of the headers holds, or
// the last round of promises that was as good.
func (l *leader) headersKnownUntil() time.Time {
	if read := l.c.control.lastRead; read.After(l.headersPromisedUntil) {
		return read
	}
	return l.headersPromisedUntil
}

// renewalDeadline is when the leader must answer no worker any more unless it has seen more
// of the headers. A user may have been told of a cancellation right after seen; a
// lease that is renewed before this deadline has run out cancel_s after that, and the task
// with it. Settings that leave hardly any time between the two can't be kept by
// leases alone; the service then relies on reading several times a second.
func (l *leader) renewalDeadline() time.Time {
	return l.headersKnownUntil().Add(l.c.cancellationWindow())
}

// cancellationWindow is how long after a cancellation was told the lease of a machine that may
// run its task can be renewed at the latest.
func (c *Core) cancellationWindow() time.Duration {
	w := c.cfg.Facts.Workers
	return max(config.Seconds(w.CancelS-w.LeaseS*(1+2*clockDrift))-cancellationMargin, c.op.LeaderLifetime()/2)
}

// cancellationMargin is for the clocks and for what the end of a lease takes.
const cancellationMargin = 500 * time.Millisecond
