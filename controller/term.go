package controller

import (
	"time"

	"pumicefront/wire"
)

// term is a leadership term, which starts with a won election and lasts as long as its lease is
// renewed. Every command sent during the term carries its fencing token.
type term struct {
	token                 uint64
	electedToken          uint64 // the token allocated by this term's election
	version               uint64 // version of the leader key: the condition of every write
	lease                 uint64
	elected               time.Time
	renewed               time.Time // when the last successful renewal was sent
	authority             time.Time // until when the lease in the state service is certain to last
	headersConfirmedUntil time.Time // see headersKnownUntil
	tokenRaisedAt         time.Time
	raisingToken          bool
}

// newTerm returns the term of a claim that was applied with the given version of the leader key.
func newTerm(now time.Time, lease, token, version uint64) term {
	return term{token: token, electedToken: token, version: version, lease: lease, elected: now, tokenRaisedAt: now}
}

// extend extends the authority after a grant or renewal of the lease. Authority counts from when
// the request was sent, less the maximum clock drift. A late reply never shortens it.
func (t *term) extend(sent time.Time, life time.Duration) {
	until := sent.Add(life - time.Duration(float64(life)*clockDrift) - authorityMargin)
	if until.After(t.authority) {
		t.authority, t.renewed = until, sent
	}
}

// leadershipCondition returns the transaction condition that this controller still leads.
func (t *term) leadershipCondition() wire.Cond {
	return wire.Cond{Key: leaderKey, Version: t.version}
}

// mayRaiseToken reports whether the token may be raised now. Raises are rate limited because each
// one is a write and is reported back by every worker.
func (t *term) mayRaiseToken(now time.Time) bool {
	return !t.raisingToken && now.Sub(t.tokenRaisedAt) >= tokenRaiseInterval
}
