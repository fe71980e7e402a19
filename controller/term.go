package controller

import (
	"time"

	"pumicefront/wire"
)

// term is a leadership term, which starts with a won election and lasts as long as its lease is
// renewed. Every command sent during the term carries its fencing token.
type term struct {
	token                 uint64    // the current fencing token: electedToken, or higher after raises
	electedToken          uint64    // the token allocated by this term's election
	version               uint64    // version of the leader key: the condition of every write
	lease                 uint64    // ID of the lease that the leader key is attached to
	elected               time.Time // when this controller became leader
	renewed               time.Time // when the grant or renewal that last extended authority was sent
	authority             time.Time // until when the lease in the state service is certain to last
	headersConfirmedUntil time.Time // when the last peer lease round that confirmed the leader's copy of the headers was sent, see headersKnownUntil
	tokenRaisedAt         time.Time // when the last raise of the token was requested; at first, when the term started
	raisingToken          bool      // a raise of the token is in flight
}

// newTerm returns the term that starts at now. version is the version of the leader key that the election's
// transaction wrote.
func newTerm(now time.Time, lease, token, version uint64) term {
	return term{token: token, electedToken: token, version: version, lease: lease, elected: now, tokenRaisedAt: now}
}

// extend extends the authority after a grant or renewal of the lease. Authority ends ttl after the
// request was sent, less the maximum clock drift and authorityMargin. A late reply never shortens it.
func (t *term) extend(sent time.Time, ttl time.Duration) {
	until := sent.Add(ttl - time.Duration(float64(ttl)*clockDrift) - authorityMargin)
	if until.After(t.authority) {
		t.authority, t.renewed = until, sent
	}
}

// leadershipCondition returns the transaction condition that this controller still leads.
func (t *term) leadershipCondition() wire.Cond {
	return wire.Cond{Key: leaderKey, Version: t.version}
}

// mayRaiseToken reports whether the token may be raised now. Raises are rate limited because each
// one is a write to the state service and is reported back by every worker.
func (t *term) mayRaiseToken(now time.Time) bool {
	return !t.raisingToken && now.Sub(t.tokenRaisedAt) >= tokenRaiseInterval
}
