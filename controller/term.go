package controller

import (
	"time"

	"pumicefront/wire"
)

// term is what a won election gives: the right to lead for as long as its lease is renewed, and
// the fencing token of every command sent meanwhile.
type term struct {
	token                uint64
	electedToken         uint64 // the token of our election
	version              uint64 // of the leader key: the condition of every write
	lease                uint64
	elected              time.Time
	renewed              time.Time // when the last renewal that succeeded was sent
	authority            time.Time // until when the state service's lease is ours for sure
	headersPromisedUntil time.Time // see headersKnownUntil
	tokenRaisedAt        time.Time
	raisingToken         bool
}

// newTerm is the term of a claim that was applied with the given version of the leader key.
func newTerm(now time.Time, lease, token, version uint64) term {
	return term{token: token, electedToken: token, version: version, lease: lease, elected: now, tokenRaisedAt: now}
}

// extend counts the authority from before a grant or renewal of the lease was sent, less what the
// clocks may drift apart. A reply that comes late extends nothing.
func (t *term) extend(sent time.Time, life time.Duration) {
	until := sent.Add(life - time.Duration(float64(life)*clockDrift) - authorityMargin)
	if until.After(t.authority) {
		t.authority, t.renewed = until, sent
	}
}

// leadershipCondition is the condition that this controller still leads.
func (t *term) leadershipCondition() wire.Cond {
	return wire.Cond{Key: leaderKey, Version: t.version}
}

// mayRaiseToken reports whether the token may be raised again now: each raise is a write, and
// every worker reports it.
func (t *term) mayRaiseToken(now time.Time) bool {
	return !t.raisingToken && now.Sub(t.tokenRaisedAt) >= raisePause
}
