package controller

import (
	"log/slog"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
)

// Lease expiry: an attempt on a machine whose lease has expired is gone. Proofs are the reasons
// for which an attempt is known to be gone.

// A proof is why an attempt is known to be gone, as the log tells it.
type proof string

// The proofs beside what a worker's heartbeat says itself.
const (
	proofNeverSent       proof = "never sent"         // its run, and it will not be
	proofMachineReleased proof = "machine released"   // the cloud has confirmed it
	proofLeaseExpired    proof = "lease ran out"      // since our last answer, with drift
	proofAbsent          proof = "not on its machine" // in a report newer than any copy of its run
)

// proofFromHeartbeat is what a worker's heartbeat says of an attempt that has ended.
func proofFromHeartbeat(why string) proof { return proof(why) }

// leaseCheckInterval is how often the leases of all machines are checked for expiry.
const leaseCheckInterval = 100 * time.Millisecond

// leaseExpiry is when a machine's lease has expired for sure, by the leader's clock.
func (f *failureDetector) leaseExpiry(m *machine) time.Time {
	lease := config.Seconds(f.c.cfg.Facts.Workers.LeaseS * (1 + 2*clockDrift))
	return m.answered.Add(lease + 200*time.Millisecond)
}

// checkLeaseExpiry looks for attempts that lease expiry has proved gone, and for what only a
// raised fencing token can settle.
func (f *failureDetector) checkLeaseExpiry() {
	now := f.c.now
	if now.Sub(f.leasesCheckedAt) < leaseCheckInterval {
		return // a walk over all machines, and nothing that it finds is that urgent
	}
	f.leasesCheckedAt = now
	f.partitions.observe(f.c.now, f.countSilent())
	for _, m := range f.fleetOrder {
		if !m.leaseOut && now.After(f.leaseExpiry(m)) {
			m.leaseOut = true
			if len(m.attempts) > 0 {
				f.c.log(slog.LevelInfo, "machine lost", "machine", m.id, "tasks", len(m.attempts))
			}
			for _, a := range m.list {
				f.gone(a, reduction.Reset, proofLeaseExpired)
			}
		}
		for k, since := range m.ended {
			if m.runToken[k] >= f.token && now.Sub(since) > raiseToForgetAfter {
				f.raiseToken("ended attempts to forget")
			}
		}
		for _, a := range m.list {
			if a.stopping && a.phase < attemptSeen && now.Sub(a.stoppedAt) > raiseForStoppedAfter && a.token >= f.token {
				f.raiseToken("stopped attempt in doubt")
			}
		}
	}
}
