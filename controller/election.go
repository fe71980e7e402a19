package controller

import (
	"log/slog"
	"net/http"
	"time"

	"pumicefront/wire"
)

// Leader election. The leader key is attached to a lease of the state service, and a claim
// allocates the next fencing token in the same transaction.

// leaderName returns the member that leads according to this controller's copy of the leader key,
// or "" if there is none or it is this member.
func (c *Core) leaderName() string {
	if c.watchCache.leader == nil || c.watchCache.leader.Member == c.cfg.Member {
		return ""
	}
	return c.watchCache.leader.Member
}

// campaign claims the leadership when there is no leader key. If the key names this
// member, it was written by an earlier process or by a claim whose result is unknown, and its
// lease is revoked.
func (c *Core) campaign() {
	if !c.watchCache.loaded || c.claiming || c.lead != nil {
		return
	}
	if l := c.watchCache.leader; l != nil {
		if l.Member == c.cfg.Member && !c.now.Before(c.revokeAfter) {
			c.revokeAfter = c.now.Add(2 * retryPause)
			c.revokeLease(l.Lease)
		}
		return
	}
	if c.now.Before(c.claimAfter) || c.mustHoldOff() {
		return
	}
	c.claiming = true
	sent := c.now
	c.callStateService(StateCall{Op: OpGrant, TTL: c.op.LeaderLeaseTTL(), Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status != http.StatusOK {
			c.claimFailed()
			return
		}
		c.claim(sent, r.Grant.Lease)
	})
}

func (c *Core) revokeLease(lease uint64) {
	c.callStateService(StateCall{Op: OpRevoke, Lease: lease, Timeout: userCallTimeout}, func(StateReply) {})
}

// claimFailed delays the next claim by retryPause with random jitter.
func (c *Core) claimFailed() {
	c.claiming = false
	c.claimAfter = c.now.Add(retryPause + time.Duration(c.rng.Int64N(int64(retryPause))))
}

// claim tries to become leader with a lease that was requested at the time sent, and allocates the next
// fencing token in the same transaction.
func (c *Core) claim(sent time.Time, lease uint64) {
	token := c.watchCache.token + 1
	set := put(leaderKey, leaderRecord{c.cfg.Member, lease})
	set.Lease = lease
	txn := wire.Txn{
		If:   []wire.Cond{{Key: leaderKey}, {Key: tokenKey, Version: c.watchCache.versions[tokenKey]}},
		Then: []wire.Change{set, put(tokenKey, tokenRecord{token})},
	}
	c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status != http.StatusOK {
			// The transaction may still be applied later. Revoking the lease removes the key then.
			c.revokeLease(lease)
			c.claimFailed()
			return
		}
		c.claiming = false
		c.becomeLeader(sent, lease, token, r.Txn.Revision)
		c.applyOwnChange(wire.Event{Put: tokenKey, Value: txn.Then[1].Value, Version: r.Txn.Revision})
		c.applyOwnChange(wire.Event{Put: leaderKey, Value: set.Value, Version: r.Txn.Revision})
	})
}

// becomeLeader starts a term after a successful claim, and the recovery from earlier leaders' records.
func (c *Core) becomeLeader(sent time.Time, lease, token, version uint64) {
	l := &leader{
		c: c, term: newTerm(c.now, lease, token, version),
		jobs: map[string]*job{}, machines: map[string]*machine{}, released: map[string]time.Time{},
		budget:   newWriteBudget(writeBurst(c.cfg.Facts.State)),
		probedAt: map[string]time.Time{}, progressSent: map[string]jobCount{}, partitions: partitions{lastSuspected: map[string]time.Time{}},
	}
	l.budget.setRate(c.now, c.writeRate())
	l.autoscaler = newAutoscaler(l)
	l.failureDetector = newFailureDetector(l)
	l.writes = &writeQueue{leader: l}
	l.zones = newZoneRecovery(l)
	l.spillover = newSpilloverManager(l)
	l.spreading = newSpreading(l)
	c.lead = l
	l.extend(sent, c.op.LeaderLeaseTTL())
	c.log(slog.LevelInfo, "leading", "token", token)
	l.scheduleRenewal()
	l.readRecords()
}

// stepDown ends the term and discards the leader's state.
func (c *Core) stepDown(why string) {
	c.log(slog.LevelInfo, "no longer leading", "token", c.lead.token, "why", why)
	c.lead.zones.handOverRecoveries()
	c.lead = nil
	c.peerLease.until, c.peerLease.active, c.peerLease.rounds = time.Time{}, false, nil
	c.claimAfter = c.now
}

// leaderChanged steps down if the changed leader key is no longer the one written by this term's
// claim.
func (c *Core) leaderChanged() {
	if c.lead == nil {
		return
	}
	if c.watchCache.leader == nil || c.watchCache.versions[leaderKey] != c.lead.version {
		c.stepDown("leader key changed")
	}
}
