package controller

import (
	"log/slog"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
)

// Proofs that time brings: an attempt on a machine whose lease has run out is gone.

// A proof is why an attempt is known to be gone, as the log tells it.
type proof string

// The proofs beside what a worker reports itself.
const (
	proofNeverSent       proof = "never sent"         // its run, and it will not be
	proofMachineReleased proof = "machine released"   // the cloud has confirmed it
	proofLeaseExpired    proof = "lease ran out"      // since our last answer, with drift
	proofAbsent          proof = "not on its machine" // in a report newer than any copy of its run
)

// proofReported is what a worker says of an attempt that has ended.
func proofReported(why string) proof { return proof(why) }

// proofInterval is how often time is asked for proofs.
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
	l.partitions.observe(l.c.now, l.failures.countSilent())
	for _, m := range l.fleetOrder {
		if !m.leaseOut && now.After(l.leaseEnd(m)) {
			m.leaseOut = true
			if len(m.attempts) > 0 {
				l.c.log(slog.LevelInfo, "machine lost", "machine", m.id, "tasks", len(m.attempts))
			}
			for _, a := range m.list {
				l.gone(a, reduction.Reset, proofLeaseExpired)
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
