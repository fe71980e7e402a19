package controller

import (
	"log/slog"
	"time"

	"pumicefront/config"
	"pumicefront/reduction"
)

// Lease expiry: an attempt on a machine whose lease has expired has ended, as the worker stops its
// tasks when its lease expires. A proof is the evidence that an attempt has ended and cannot start
// again.

// terminationProof is the reason why an attempt is known to have ended, as written to the log.
type terminationProof string

// The proofs other than exit reasons, which workers report in heartbeats.
const (
	proofNeverSent       terminationProof = "never sent"         // the run command was not sent and will not be
	proofMachineReleased terminationProof = "machine released"   // the cloud has confirmed it
	proofLeaseExpired    terminationProof = "lease ran out"      // counted from the last answer that may have renewed it, with allowance for clock drift
	proofAbsent          terminationProof = "not on its machine" // in a heartbeat after which no copy of the run command can take effect
)

// proofFromHeartbeat returns the proof for an attempt that a heartbeat reports as exited.
func proofFromHeartbeat(exitReason string) terminationProof { return terminationProof(exitReason) }

// leaseCheckInterval is how often the leases of all machines are checked for expiry.
const leaseCheckInterval = 100 * time.Millisecond

// leaseExpiry returns the time, by the leader's clock, at which a machine's lease has certainly
// expired.
func (f *failureDetector) leaseExpiry(m *machine) time.Time {
	lease := config.Seconds(f.c.cfg.Facts.Workers.LeaseS * (1 + 2*clockDrift))
	return m.leaseRenewedAt.Add(lease + 200*time.Millisecond)
}

// checkLeaseExpiry updates the suspected network partitions and ends the attempts on machines whose
// lease has expired. It raises the fencing token for ended attempts that workers cannot forget
// otherwise, and for stopped attempts that have not appeared in a heartbeat and whose run command may
// still be in transit.
func (f *failureDetector) checkLeaseExpiry() {
	now := f.c.now
	if now.Sub(f.leasesCheckedAt) < leaseCheckInterval {
		return // the scan visits all machines, and none of its results is needed sooner
	}
	f.leasesCheckedAt = now
	f.partitions.observe(f.c.now, f.countSilent())
	for _, m := range f.machinesByName {
		if !m.leaseExpired && now.After(f.leaseExpiry(m)) {
			m.leaseExpired = true
			if len(m.attempts) > 0 {
				f.c.log(slog.LevelInfo, "machine lost", "machine", m.id, "tasks", len(m.attempts))
			}
			for _, a := range m.attemptsInOrder() {
				f.removeAttempt(a, reduction.Reset, proofLeaseExpired)
			}
		}
		crowded := m.endedAttempts.len() >= crowdedEndedAttempts
		for k, since := range m.endedAttempts.reportedAt {
			if m.runToken[k] >= f.token && (crowded || now.Sub(since) > endedAttemptRaiseDelay) {
				f.raiseToken("ended attempts to forget")
			}
		}
		for _, a := range m.attemptsInOrder() {
			if a.stopping && a.phase < attemptReported && now.Sub(a.stoppedAt) > stoppedAttemptRaiseDelay && a.token >= f.token {
				f.raiseToken("stopped attempt in doubt")
			}
		}
	}
}
