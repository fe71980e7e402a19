package controller

import (
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// lead is what a controller knows and does as leader; it goes when another one
// leads. Authority may lapse and come back meanwhile (see entitled).
type leader struct {
	c                    *Core
	token                uint64
	electedToken         uint64 // the token of our election
	version              uint64 // of the leader key: the condition of every write
	lease                uint64
	elected              time.Time
	renewed              time.Time // when the last renewal that succeeded was sent
	authority            time.Time // until when the state service's lease is ours for sure
	headersPromisedUntil time.Time // see seen
	recovered            bool

	jobs             map[string]*job
	order            []*job // by acceptance
	machines         map[string]*machine
	fleetOrder       []*machine // the same by name
	toSend           []*machine // that commands may wait for
	proofsAt         time.Time
	consolidatedAt   time.Time           // see gather
	listening        time.Time           // without a pause since, see listen
	listened         time.Time           // when the machines were looked at last
	scratch          []scheduler.Machine // reused by every view
	guaranteesAt     time.Time           // see dealShares
	flushAt          time.Time           // no write before: the budget is used up
	released         map[string]time.Time
	obsoleteKeys     []string // task records whose job is over
	writes           *rate.Limiter
	backgroundWrites *rate.Limiter // besides, for writes that nobody waits for
	placeAt          time.Time     // when the next round of placement is due; zero: none
	tokenRaisedAt    time.Time
	raisingToken     bool
	probedAt         map[string]time.Time // machines asked for a report, and when
	partitioned      map[string]bool      // see cutZones
	partitionedAt    map[string]time.Time // when each was seen last

	arrivals     []arrival
	demandHints  map[string]demandHint
	fleet        fleet
	progressAt   time.Time
	hintedAt     time.Time
	progressTold map[string]jobCount
}

const (
	authorityMargin      = 50 * time.Millisecond
	raisePause           = 8 * time.Second
	raiseToForgetAfter   = 30 * time.Second
	raiseForStoppedAfter = 4 * time.Second
)

// entitled tells whether this controller may act for the controllers now. It is
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
	until := c.lead.authority
	if c.promises.promisedUntil.After(until) {
		until = c.promises.promisedUntil
	}
	if blind := c.lead.renewalDeadline(); blind.Before(until) {
		until = blind
	}
	return until
}

// leaderName returns who leads as far as known, or "".
func (c *Core) leaderName() string {
	if c.control.leader == nil || c.control.leader.Member == c.cfg.Member {
		return ""
	}
	return c.control.leader.Member
}

// pursueLeadership claims the leadership when nobody holds it, and ends what an
// earlier process of this member, or a claim in doubt, has left behind.
func (c *Core) pursueLeadership() {
	if !c.control.loaded || c.claiming || c.lead != nil {
		return
	}
	if l := c.control.leader; l != nil {
		if l.Member == c.cfg.Member && !c.now.Before(c.endAfter) {
			c.endAfter = c.now.Add(2 * retryPause)
			c.endLease(l.Lease)
		}
		return
	}
	if c.now.Before(c.claimAfter) || c.promiseBinds() {
		return
	}
	c.claiming = true
	sent := c.now
	c.state(StateCall{Op: OpGrant, Life: c.op.LeaderLifetime(), Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status != http.StatusOK {
			c.claimFailed()
			return
		}
		c.claim(sent, r.Grant.Lease)
	})
}

func (c *Core) endLease(lease uint64) {
	c.state(StateCall{Op: OpEnd, Lease: lease, Timeout: userCallTimeout}, func(StateReply) {})
}

func (c *Core) claimFailed() {
	c.claiming = false
	c.claimAfter = c.now.Add(retryPause + time.Duration(c.rng.Int64N(int64(retryPause))))
}

// claim tries to become leader with a lease granted at sent, and takes the next
// token in the same transaction.
func (c *Core) claim(sent time.Time, lease uint64) {
	token := c.control.token + 1
	set := put(leaderKey, leaderRecord{c.cfg.Member, lease})
	set.Lease = lease
	txn := wire.Txn{
		If:   []wire.Cond{{Key: leaderKey}, {Key: tokenKey, Version: c.control.versions[tokenKey]}},
		Then: []wire.Change{set, put(tokenKey, tokenRecord{token})},
	}
	c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: userCallTimeout}, func(r StateReply) {
		if r.Status != http.StatusOK {
			// In doubt it may still be applied: without its lease it can't stay.
			c.endLease(lease)
			c.claimFailed()
			return
		}
		c.claiming = false
		c.becomeLeader(sent, lease, token, r.Txn.Revision)
		c.written(wire.Event{Put: tokenKey, Value: txn.Then[1].Value, Version: r.Txn.Revision})
		c.written(wire.Event{Put: leaderKey, Value: set.Value, Version: r.Txn.Revision})
	})
}

func (c *Core) becomeLeader(sent time.Time, lease, token, version uint64) {
	burst := max(2, int(c.cfg.Facts.State.Tightest().WriteRPS*burstShare))
	l := &leader{
		c: c, token: token, electedToken: token, version: version, lease: lease, elected: c.now,
		jobs: map[string]*job{}, machines: map[string]*machine{}, released: map[string]time.Time{},
		writes:           rate.NewLimiter(0, burst),
		backgroundWrites: rate.NewLimiter(0, burst),
		probedAt:         map[string]time.Time{}, progressTold: map[string]jobCount{}, demandHints: map[string]demandHint{}, tokenRaisedAt: c.now, partitionedAt: map[string]time.Time{},
	}
	l.setWriteRates()
	l.fleet.init()
	c.lead = l
	l.extend(sent)
	c.log(slog.LevelInfo, "leading", "token", token)
	l.renewLater()
	l.readRecords()
}

// pace spends shares of the changes that the state service takes in a second.
func (l *leader) setWriteRates() {
	changes := rate.Limit(l.c.writeRate())
	l.writes.SetLimitAt(l.c.now, changes*leaderShare)
	l.backgroundWrites.SetLimitAt(l.c.now, changes*backgroundShare)
}

// extend counts the authority from before the renewal was sent, less what the
// clocks may drift apart.
func (l *leader) extend(sent time.Time) {
	life := l.c.op.LeaderLifetime()
	until := sent.Add(life - time.Duration(float64(life)*clockDrift) - authorityMargin)
	if until.After(l.authority) {
		l.authority, l.renewed = until, sent
	}
}

func (l *leader) renewLater() {
	every := min(l.c.op.LeaderLifetime(), l.c.cancellationWindow()) / 4
	l.c.after(every, func() {
		if l.c.lead != l {
			return
		}
		l.renew()
		if l.c.now.Sub(l.c.control.read) >= every {
			l.c.syncAlways(func(bool) {}) // see blind
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
			l.extend(sent)
			l.stateServiceBack()
		case http.StatusNotFound:
			c.stepDown("lease ended")
		}
	})
}

func (c *Core) stepDown(why string) {
	c.log(slog.LevelInfo, "no longer leading", "token", c.lead.token, "why", why)
	c.lead = nil
	c.promises.promisedUntil, c.promises.onPromises, c.promises.asks = time.Time{}, false, nil
	c.claimAfter = c.now
}

// leaderChanged is called when the watched leader key has changed.
func (c *Core) leaderChanged() {
	if c.lead == nil {
		return
	}
	if c.control.leader == nil || c.control.versions[leaderKey] != c.lead.version {
		c.stepDown("leader key changed")
	}
}

// tokenChanged takes over a raised token: while the leader key is ours, nobody
// else raises it, so even a raise whose answer was lost is ours.
func (c *Core) tokenChanged() {
	if c.lead != nil && c.control.token > c.lead.token {
		c.lead.token = c.control.token
	}
}

// mine is the condition that this controller still leads.
func (l *leader) leadershipCondition() wire.Cond {
	return wire.Cond{Key: leaderKey, Version: l.version}
}

// raiseToken fences all commands sent so far: once a worker has seen the new
// token, no earlier copy of a command can run there any more.
func (l *leader) raiseToken(why string) {
	if l.raisingToken || l.c.now.Sub(l.tokenRaisedAt) < raisePause {
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

// readRecords reads what the earlier leader left: first the headers, as new as our
// election, then rentals and task records, which only we write now. It begins
// again until all is read.
func (l *leader) readRecords() {
	c := l.c
	again := func() {
		c.after(retryPause, func() {
			if c.lead == l {
				l.readRecords()
			}
		})
	}
	read := func(prefix string, next func([]wire.Item)) {
		c.readAll(prefix, leadCallTimeout, func(items []wire.Item, _ uint64, ok bool) {
			switch {
			case c.lead != l:
			case !ok:
				again()
			default:
				next(items)
			}
		})
	}
	c.sync(func(ok bool) {
		switch {
		case c.lead != l:
		case !ok:
			again()
		default:
			read(rentalPrefix, func(hires []wire.Item) {
				read(taskPrefix, func(tasks []wire.Item) { l.rebuild(tasks, hires) })
			})
		}
	})
}

// run is the leader's part of every step.
func (l *leader) run() {
	if !l.recovered {
		return
	}
	l.noteListening()
	l.proveGone()
	l.place()
	l.flush()
	l.sendCommands()
	l.runFleet()
	l.broadcastProgress()
}
