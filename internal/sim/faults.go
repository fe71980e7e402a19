package sim

import (
	"slices"
	"time"
)

// faultSpan is the time that a fault lasts. All faults are repaired at the end of the
// period with faults, even if their own duration has not passed.
type faultSpan struct {
	w        *World
	end      time.Duration // when the period with faults ends
	duration time.Duration
}

// repairAtEnd schedules the repair of the fault for the end of its duration.
func (f faultSpan) repairAtEnd(repair func()) { f.w.after(f.w.untilEnd(f.duration, f.end), repair) }

// isolate partitions a controller from the state service and from the other controllers.
// It still reaches workers and users.
func (f faultSpan) isolate(n *member) {
	n.cutFromStateAndPeers = true
	f.repairAtEnd(func() {
		n.cutFromStateAndPeers = false
		f.w.store.notify()
	})
}

// randomFault is a random fault with its parameters.
type randomFault struct {
	faultSpan
	controller    *member
	downtime      time.Duration // downtime of a process that crashes
	shortDowntime time.Duration // downtime of a process or machine that restarts quickly
	machineChoice uint64        // selects a machine
	share         float64       // probability for each machine of being affected, in faults of many machines
}

// faultKinds are the kinds of fault that a run draws from.
var faultKinds = []func(*randomFault){
	(*randomFault).crashOne,
	(*randomFault).crashAll,
	(*randomFault).stateOutage,
	(*randomFault).stateOutageAndCrash,
	(*randomFault).refuseOne,
	(*randomFault).refuseOneWithoutPeers,
	(*randomFault).cutOneFromWorkers,
	(*randomFault).isolateOne,
	(*randomFault).isolateOneAndCrashOthers,
	(*randomFault).pauseOne,
	(*randomFault).pauseOneBriefly,
	(*randomFault).pauseAll,
	(*randomFault).pauseOneAndCrashNext,
	(*randomFault).stateOutageAndPause,
	(*randomFault).crashTwice,
	(*randomFault).stateOutageAndQuickRestart,
	(*randomFault).refuseAllInTurn,
	(*randomFault).restartMachine,
	(*randomFault).machineReceivesNothing,
	(*randomFault).machineReceivesNothingAndRestarts,
	(*randomFault).cutManyMachines,
	(*randomFault).hangManyMachines,
	(*randomFault).loseManyMachines,
	(*randomFault).restartManyMachines,
	(*randomFault).crashAndCutManyMachines,
	(*randomFault).cloudOutage,
	(*randomFault).cutMachine,
	(*randomFault).hangMachine,
	(*randomFault).loseMachine,
	(*randomFault).announceTermination,
}

// drawFault draws a fault and returns the function that injects it.
func (w *World) drawFault(end time.Duration) func() {
	f := &randomFault{
		controller:    w.controllers[w.rng.IntN(len(w.controllers))],
		faultSpan:     faultSpan{w: w, end: end, duration: w.between(3*time.Second, 30*time.Second)},
		downtime:      w.between(100*time.Millisecond, 6*time.Second),
		shortDowntime: w.between(20*time.Millisecond, 400*time.Millisecond),
		machineChoice: w.rng.Uint64(),
		share:         0.1 + 0.6*w.rng.Float64(),
	}
	kind := faultKinds[w.rng.IntN(len(faultKinds))]
	return func() { kind(f) }
}

// untilEnd returns the duration, shortened if necessary so that it does not extend beyond end.
func (w *World) untilEnd(duration, end time.Duration) time.Duration {
	return min(duration, max(end-w.now, 0))
}

func (f *randomFault) crashOne() { f.controller.crash(f.downtime) }

func (f *randomFault) crashAll() {
	for _, n := range f.w.controllers {
		n.crash(f.downtime)
	}
}

func (f *randomFault) stateOutage() {
	f.w.store.setOutage(true)
	f.repairAtEnd(func() { f.w.store.setOutage(false) })
}

func (f *randomFault) stateOutageAndCrash() {
	f.w.store.setOutage(true)
	f.controller.crash(f.downtime)
	f.repairAtEnd(func() { f.w.store.setOutage(false) })
}

func (f *randomFault) refuseOne() { f.w.refuse(f.controller, f.duration, f.end) }

func (f *randomFault) refuseOneWithoutPeers() {
	f.controller.stateRefused, f.controller.cutFromPeers = true, true
	f.repairAtEnd(func() {
		f.controller.stateRefused, f.controller.cutFromPeers = false, false
		f.w.store.notify()
	})
}

func (f *randomFault) cutOneFromWorkers() {
	f.controller.cutFromWorkers = true
	f.repairAtEnd(func() { f.controller.cutFromWorkers = false })
}

func (f *randomFault) isolateOne() { f.isolate(f.controller) }

func (f *randomFault) isolateOneAndCrashOthers() {
	for _, n := range f.w.controllers {
		if n != f.controller {
			n.crash(f.downtime)
		}
	}
	f.isolate(f.controller)
}

func (f *randomFault) pauseOne() { f.controller.pause(f.duration) }

func (f *randomFault) pauseOneBriefly() { f.controller.pause(f.downtime / 3) }

func (f *randomFault) pauseAll() {
	for _, n := range f.w.controllers {
		n.pause(f.w.between(0, f.duration))
	}
}

// pauseOneAndCrashNext pauses one controller, so that another takes over, and crashes the
// next one within four seconds, which may be the one that took over.
func (f *randomFault) pauseOneAndCrashNext() {
	f.controller.pause(f.duration)
	next := f.w.controllers[(f.controller.index+1)%len(f.w.controllers)]
	f.w.after(f.w.between(0, 4*time.Second), func() { next.crash(f.shortDowntime) })
}

func (f *randomFault) stateOutageAndPause() {
	f.w.store.setOutage(true)
	f.controller.pause(f.duration / 2)
	f.repairAtEnd(func() { f.w.store.setOutage(false) })
}

func (f *randomFault) crashTwice() {
	f.controller.crash(f.shortDowntime)
	f.w.after(f.shortDowntime+f.w.between(0, 2*time.Second), func() { f.controller.crash(f.shortDowntime) })
}

func (f *randomFault) stateOutageAndQuickRestart() {
	f.w.store.setOutage(true)
	f.w.after(f.w.between(time.Second, 4*time.Second), func() { f.controller.crash(f.shortDowntime) })
	f.repairAtEnd(func() { f.w.store.setOutage(false) })
}

// refuseAllInTurn makes the state service refuse each controller for a different time, so
// that their leases run out and they return one by one. One of them also crashes.
func (f *randomFault) refuseAllInTurn() {
	for _, n := range f.w.controllers {
		f.w.refuse(n, f.duration/4+f.w.between(0, 4*time.Second), f.end)
	}
	f.w.after(f.w.between(0, 3*time.Second), func() { f.controller.crash(f.shortDowntime) })
}

// refuse makes the state service refuse the calls of one controller for a while.
func (w *World) refuse(n *member, duration, end time.Duration) {
	n.stateRefused = true
	w.after(w.untilEnd(duration, end), func() {
		n.stateRefused = false
		w.store.notify()
	})
}

func (f *randomFault) restartMachine() {
	f.oneMachine(func(h *host) { h.restart(f.shortDowntime) })
}

func (f *randomFault) machineReceivesNothing() {
	f.oneMachine(func(h *host) {
		h.receivesNothing = true
		f.repairAtEnd(func() { h.receivesNothing = false })
	})
}

func (f *randomFault) machineReceivesNothingAndRestarts() {
	f.oneMachine(func(h *host) {
		h.receivesNothing = true
		f.repairAtEnd(func() {
			h.receivesNothing = false
			h.restart(f.shortDowntime)
		})
	})
}

func (f *randomFault) cutManyMachines()  { f.manyMachines(f.cut) }
func (f *randomFault) hangManyMachines() { f.manyMachines(f.hang) }
func (f *randomFault) loseManyMachines() { f.manyMachines((*host).terminate) }

func (f *randomFault) restartManyMachines() {
	f.manyMachines(func(h *host) { h.restart(f.w.between(20*time.Millisecond, 6*time.Second)) })
}

func (f *randomFault) crashAndCutManyMachines() {
	f.controller.crash(f.downtime)
	f.manyMachines(f.cut)
}

func (f *randomFault) cloudOutage() {
	f.w.cloud.outage = true
	f.repairAtEnd(func() { f.w.cloud.outage = false })
}

func (f *randomFault) cutMachine()  { f.oneMachine(f.cut) }
func (f *randomFault) hangMachine() { f.oneMachine(f.hang) }
func (f *randomFault) loseMachine() { f.oneMachine((*host).terminate) }

func (f *randomFault) announceTermination() {
	f.oneMachine(func(h *host) {
		h.terminationNotice = true
		f.w.after(5*time.Second, h.terminate)
	})
}

func (f *randomFault) cut(h *host) {
	h.setPartitioned(true)
	f.repairAtEnd(func() { h.setPartitioned(false) })
}

func (f *randomFault) hang(h *host) {
	h.setHung(true)
	f.repairAtEnd(func() { h.setHung(false) })
}

// oneMachine injects a fault into one of the machines that are up.
func (f *randomFault) oneMachine(cause func(h *host)) {
	if hosts := f.w.hostsUp(); len(hosts) > 0 {
		cause(hosts[f.machineChoice%uint64(len(hosts))])
	}
}

// manyMachines injects a fault into a random share of the machines that are up.
func (f *randomFault) manyMachines(cause func(h *host)) {
	for _, h := range f.w.hostsUp() {
		if f.w.chance(f.share) {
			cause(h)
		}
	}
}

// hostsUp returns the machines that have booted and still exist.
func (w *World) hostsUp() []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.hasEnded || h.bootedAt > w.now })
}
