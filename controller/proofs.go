package controller

import (
	"log/slog"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
)

// Proofs that time brings: an attempt on a machine whose lease has run out is gone.

// proveEvery is how often time is asked for proofs.
const proofInterval = 100 * time.Millisecond

// leaseEnd is when a machine's lease has run out for sure, by our clock.
func (l *leader) leaseEnd(m *machine) time.Time {
	lease := config.Seconds(l.c.cfg.Facts.Workers.LeaseS * (1 + 2*clockDrift))
	return m.answered.Add(lease + 200*time.Millisecond)
}

// proveGone looks for attempts that time has proved gone, and for what only a
// raised token can settle.
func (l *leader) proveGone() {
	now := l.c.now
	if now.Sub(l.proofsAt) < proofInterval {
		return // a walk over all machines, and nothing that it finds is that urgent
	}
	l.proofsAt = now
	l.partitioned = l.partitionedZones()
	for _, m := range l.fleetOrder {
		if !m.leaseOut && now.After(l.leaseEnd(m)) {
			m.leaseOut = true
			if len(m.attempts) > 0 {
				l.c.log(slog.LevelInfo, "machine lost", "machine", m.id, "tasks", len(m.attempts))
			}
			for _, a := range m.list {
				l.gone(a, reduction.Reset, "lease ran out")
			}
		}
		for k, since := range m.ended {
			if m.runToken[k] >= l.token && now.Sub(since) > raiseToForgetAfter {
				l.raiseToken("ended attempts to forget")
			}
		}
		for _, a := range m.list {
			if a.stopping && a.phase < attemptSeen && now.Sub(a.stoppedAt) > raiseForStoppedAfter && a.token >= l.token {
				l.raiseToken("stopped attempt in doubt")
			}
		}
	}
}
