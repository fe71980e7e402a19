package sim

import (
	"slices"
	"time"
)

// pairedFault is the first fault of a pair, with its parameters; the second one, a randomFault,
// starts within three seconds of it. Most paired faults change the behaviour of the environment for a while.
type pairedFault struct {
	faultSpan
	share         float64       // strength of the fault: a probability, or a fraction of a maximum delay
	hangDuration  time.Duration // how long machines of cancelled jobs hang
	shortDowntime time.Duration // downtime of a process that restarts quickly
	cancelCount   int           // number of jobs to cancel
	pick          uint64        // selects the kind of fault and a controller
}

// pairedFaultKinds are the kinds from which the first fault of a pair is drawn.
var pairedFaultKinds = []func(*pairedFault){
	func(f *pairedFault) { f.raise(&f.w.faults.lateWrites) },
	func(f *pairedFault) { f.raise(&f.w.faults.lostAnswers) },
	func(f *pairedFault) { f.raise(&f.w.faults.delayedCommands) },
	func(f *pairedFault) { f.raise(&f.w.faults.lostCommandAnswers) },
	func(f *pairedFault) { f.raise(&f.w.faults.duplicateReports) },
	func(f *pairedFault) { f.raise(&f.w.faults.keepReports) },
	func(f *pairedFault) { f.raise(&f.w.faults.cancelAtEnd) },
	(*pairedFault).slowState,
	(*pairedFault).fastBoots,
	(*pairedFault).askAllControllers,
	(*pairedFault).machinesReceiveNothing,
	(*pairedFault).machinesSendNothing,
	func(f *pairedFault) { f.w.users.cancelRunning(f.cancelCount, 0) },
	func(f *pairedFault) { f.w.users.cancelRunning(f.cancelCount, f.hangDuration) },
	(*pairedFault).edgeCaseRequests,
	(*pairedFault).smallJobs,
	(*pairedFault).outageAfterCancellations,
	(*pairedFault).repeatedLeaderCrashes,
	(*pairedFault).repeatedLeaderRefusals,
	(*pairedFault).isolateLeader,
	(*pairedFault).isolateZone,
	(*pairedFault).overloadSlowLinks,
	(*pairedFault).crashWithNewMachines,
	(*pairedFault).crashAtTeamLimits,
	(*pairedFault).allDownForALease,
}

// drawPairedFault draws a fault of pairedFaultKinds and returns the function that injects it.
func (w *World) drawPairedFault(end time.Duration) func() {
	f := &pairedFault{
		faultSpan:     faultSpan{w: w, end: end, duration: w.between(4*time.Second, 30*time.Second)},
		share:         0.05 + 0.5*w.rng.Float64(),
		hangDuration:  w.between(2*time.Second, 20*time.Second),
		shortDowntime: w.between(50*time.Millisecond, 900*time.Millisecond),
		cancelCount:   1 + w.rng.IntN(12),
		pick:          w.rng.Uint64(),
	}
	kind := pairedFaultKinds[f.pick%uint64(len(pairedFaultKinds))]
	return func() { kind(f) }
}

// raise sets a probability in World.faults to the fault's share, and back to 0 at its end.
func (f *pairedFault) raise(probability *float64) {
	*probability = f.share
	f.repairAtEnd(func() { *probability = 0 })
}

// delay returns the fraction f.share of the given maximum.
func (f *pairedFault) delay(most time.Duration) time.Duration {
	return time.Duration(f.share * float64(most))
}

func (f *pairedFault) slowState() {
	f.w.faults.slowState = f.delay(2 * time.Second)
	f.repairAtEnd(func() { f.w.faults.slowState = 0 })
}

func (f *pairedFault) fastBoots() {
	f.w.faults.fastBoots = true
	f.repairAtEnd(func() { f.w.faults.fastBoots = false })
}

func (f *pairedFault) askAllControllers() {
	f.w.faults.askAllControllers = true
	f.repairAtEnd(func() { f.w.faults.askAllControllers = false })
}

func (f *pairedFault) machinesReceiveNothing() {
	f.someMachines(func(h *host, on bool) { h.receivesNothing = on })
}

func (f *pairedFault) machinesSendNothing() {
	f.someMachines(func(h *host, on bool) { h.sendsNothing = on })
}

// someMachines sets a fault on a random share of the machines that are up, and clears it
// at the end of its duration.
func (f *pairedFault) someMachines(set func(h *host, on bool)) {
	for _, h := range f.w.hosts {
		if !h.hasEnded && h.bootedAt <= f.w.now && f.w.chance(f.share) {
			set(h, true)
			f.repairAtEnd(func() { set(h, false) })
		}
	}
}

func (f *pairedFault) edgeCaseRequests() {
	for range 20 {
		f.w.after(f.w.between(0, f.duration), f.w.users.edgeCaseRequests)
	}
}

// smallJobs submits four jobs with one task each per second, a quarter of which are
// cancelled.
func (f *pairedFault) smallJobs() {
	for at := time.Duration(0); at < f.duration; at += 250 * time.Millisecond {
		f.w.after(at, func() {
			if f.w.now < f.end {
				f.w.users.submitSmallJob()
			}
		})
	}
}

// outageAfterCancellations makes the state service refuse the leader, while the others confirm
// cancellations. The state service then has an outage for all controllers, longer than the time within which
// cancellations must take effect if the faults last that long.
func (f *pairedFault) outageAfterCancellations() {
	w := f.w
	w.refuse(w.leaderOrFirst(), w.cancelTime()+f.duration, f.end)
	w.after(w.between(0, 500*time.Millisecond), func() { w.users.cancelRunning(f.cancelCount, 0) })
	w.after(w.between(600*time.Millisecond, 2*time.Second), func() {
		w.store.setOutage(true)
		w.after(w.untilEnd(w.cancelTime()+f.hangDuration, f.end), func() { w.store.setOutage(false) })
	})
}

// repeatedLeaderCrashes crashes the current leader four times within four seconds, while jobs
// are cancelled.
func (f *pairedFault) repeatedLeaderCrashes() {
	w := f.w
	for range 4 {
		w.after(w.between(0, 4*time.Second), func() { w.leaderOrFirst().crash(f.shortDowntime) })
	}
	w.after(w.between(0, 2*time.Second), func() { w.users.cancelRunning(f.cancelCount, 0) })
}

// repeatedLeaderRefusals makes the state service refuse the current leader, ten times with
// two seconds in between.
func (f *pairedFault) repeatedLeaderRefusals() {
	w := f.w
	for i := range 10 {
		w.after(time.Duration(i)*2*time.Second, func() {
			if w.now < f.end {
				w.refuse(w.leaderOrFirst(), 2*time.Second, f.end)
			}
		})
	}
}

// isolateLeader partitions the leader from the state service and from the other
// controllers, while jobs are cancelled. It still reaches workers and users.
func (f *pairedFault) isolateLeader() {
	w := f.w
	w.after(w.between(0, 2*time.Second), func() { w.users.cancelRunning(f.cancelCount, 0) })
	f.isolate(w.leaderOrFirst())
}

// isolateZone partitions a zone with one controller in it from the rest, for longer than a
// lease if the faults last that long.
func (f *pairedFault) isolateZone() {
	w := f.w
	n := w.controllers[f.pick>>8%uint64(len(w.controllers))]
	w.isolateZoneWithController("a", n, w.untilEnd(w.leaseTime()+f.duration, f.end))
	w.users.cancelRunning(f.cancelCount, 0)
}

// overloadSlowLinks submits more work than the machines can run at once, over slow links.
func (f *pairedFault) overloadSlowLinks() {
	w := f.w
	w.faults.slowLinks = f.delay(400 * time.Millisecond)
	f.repairAtEnd(func() {
		w.faults.slowLinks = 0
		if slices.ContainsFunc(w.users.jobsBySubmission, (*simJob).waitsForStart) {
			w.coverage["much more work than room over slow links"]++
		}
	})
	f.submit(8)
}

func (f *pairedFault) submit(jobs int) {
	for range jobs {
		f.w.users.submitRandomJob()
	}
}

// crashWithNewMachines crashes the leader while machines that have just booted start their
// first tasks and the state service is slow.
func (f *pairedFault) crashWithNewMachines() {
	w := f.w
	w.faults.fastBoots, w.faults.slowState = true, f.delay(2*time.Second)
	f.repairAtEnd(func() { w.faults.fastBoots, w.faults.slowState = false, 0 })
	f.submit(4)
	w.after(w.between(500*time.Millisecond, 6*time.Second), func() { w.leaderOrFirst().crash(f.shortDowntime) })
}

// crashAtTeamLimits submits work beyond the teams' limits, cancels jobs whose machines
// hang, and crashes the leader.
func (f *pairedFault) crashAtTeamLimits() {
	w := f.w
	f.submit(12)
	w.after(f.duration/4, func() { w.users.cancelRunning(f.cancelCount, f.hangDuration) })
	w.after(f.duration/4+w.between(0, time.Second), func() { w.leaderOrFirst().crash(f.shortDowntime) })
}

// allDownForALease crashes all controllers for at least the duration of a lease, if the faults last that
// long; they return one after the other.
func (f *pairedFault) allDownForALease() {
	w := f.w
	w.after(w.leaseTime()-time.Millisecond, func() { // the first controller returns one millisecond later
		if !slices.ContainsFunc(w.controllers, func(n *member) bool { return n.core != nil }) {
			w.coverage["all controllers down for a lease"]++
		}
	})
	for i, n := range w.controllers {
		n.crash(min(w.leaseTime()+time.Duration(i)*f.shortDowntime, max(f.end-w.now, f.shortDowntime)))
	}
}
