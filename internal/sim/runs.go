package sim

import (
	"time"
)

// RunFaults simulates a run with random faults until faultTime, followed by a recovery
// period at whose end every accepted array job that was not cancelled must be done.
func RunFaults(w *World, faultTime, recovery time.Duration) {
	w.startUsers(faultTime)
	for at := 25 * time.Second; at < faultTime; at += w.between(4*time.Second, 20*time.Second) {
		fault := w.drawFault(faultTime)
		w.after(at, fault)
	}
	w.Run(faultTime + recovery)
	if len(w.Violations) == 0 {
		w.checkEnds()
	}
}

// startUsers starts the users, who submit jobs until faultTime, and schedules the end of the
// faults for that time.
func (w *World) startUsers(faultTime time.Duration) {
	u := w.users
	u.submissionsEnd = faultTime
	w.after(time.Second, func() { u.submitRegularly(w.shape.ArrivalInterval) })
	w.after(faultTime, func() { w.faultsEnd = w.now })
	w.after(5*time.Second, u.askUnknownJobs)
}

// RunFaultPairs simulates a run in which faults come in pairs, the second within three seconds of the first
// and usually while that lasts: most violations found so far came from overlapping faults. The first of each
// pair is one of pairedFaultKinds, most of which change the environment for a while; the second is any of
// faultKinds.
func RunFaultPairs(w *World, faultTime, recovery time.Duration) {
	w.startUsers(faultTime)
	w.after(faultTime, func() { w.checkWaitingJobs(5 * time.Second) })
	if w.shape.Chains {
		for at := 3 * time.Second; at < faultTime-20*time.Second; at += w.between(2*time.Second, 14*time.Second) {
			w.after(at, w.users.submitChain)
		}
		w.after(w.between(20*time.Second, faultTime), func() {
			w.coverage["the state service lowers its limits"]++
			w.store.lowerLimits()
		})
	}
	for at := 20 * time.Second; at < faultTime; at += w.between(4*time.Second, 16*time.Second) {
		w.after(at, w.drawPairedFault(faultTime))
		w.after(at+w.between(0, 3*time.Second), w.drawFault(faultTime))
	}
	w.Run(faultTime + recovery)
	if len(w.Violations) == 0 {
		w.checkEnds()
		w.checkServed()
	}
}
