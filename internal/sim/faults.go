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

// undo schedules the repair of the fault for the end of its duration.
func (f faultSpan) undo(repair func()) { f.w.after(f.w.untilEnd(f.duration, f.end), repair) }

// isolate partitions a controller from the state service and from the other controllers.
// It still reaches workers and users.
func (f faultSpan) isolate(n *node) {
	n.isolated = true
	f.undo(func() {
		n.isolated = false
		f.w.store.notify()
	})
}

// drawnFault is a random fault with its parameters.
type drawnFault struct {
	faultSpan
	node  *node
	down  time.Duration // downtime of a process that crashes
	soon  time.Duration // downtime of a process or machine that restarts quickly
	pick  uint64        // selects a machine
	share float64       // share of the machines that is affected
}

// faultKinds are the kinds of fault that a run draws from.
var faultKinds = []func(*drawnFault){
	(*drawnFault).crashOne,
	(*drawnFault).crashAll,
	(*drawnFault).stateOutage,
	(*drawnFault).stateOutageAndCrash,
	(*drawnFault).refuseOne,
	(*drawnFault).refuseOneWithoutPeers,
	(*drawnFault).cutOneFromWorkers,
	(*drawnFault).isolateOne,
	(*drawnFault).isolateOneAndCrashOthers,
	(*drawnFault).pauseOne,
	(*drawnFault).pauseOneShortly,
	(*drawnFault).pauseAll,
	(*drawnFault).pauseOneAndCrashNext,
	(*drawnFault).stateOutageAndPause,
	(*drawnFault).crashTwice,
	(*drawnFault).stateOutageAndQuickRestart,
	(*drawnFault).refuseAllInTurn,
	(*drawnFault).restartMachine,
	(*drawnFault).machineReceivesNothing,
	(*drawnFault).machineReceivesNothingAndRestarts,
	(*drawnFault).cutManyMachines,
	(*drawnFault).hangManyMachines,
	(*drawnFault).loseManyMachines,
	(*drawnFault).restartManyMachines,
	(*drawnFault).crashAndCutManyMachines,
	(*drawnFault).cloudOutage,
	(*drawnFault).cutMachine,
	(*drawnFault).hangMachine,
	(*drawnFault).loseMachine,
	(*drawnFault).noticeMachine,
}

// drawFault draws a fault and returns the function that injects it.
func (w *World) drawFault(end time.Duration) func() {
	f := &drawnFault{
		node:      w.nodes[w.rng.IntN(len(w.nodes))],
		faultSpan: faultSpan{w: w, end: end, duration: w.between(3*time.Second, 30*time.Second)},
		down:      w.between(100*time.Millisecond, 6*time.Second),
		soon:      w.between(20*time.Millisecond, 400*time.Millisecond),
		pick:      w.rng.Uint64(),
		share:     0.1 + 0.6*w.rng.Float64(),
	}
	kind := faultKinds[w.rng.IntN(len(faultKinds))]
	return func() { kind(f) }
}

// untilEnd returns the duration, shortened if necessary to be over at end.
func (w *World) untilEnd(duration, end time.Duration) time.Duration {
	return min(duration, max(end-w.now, 0))
}

func (f *drawnFault) crashOne() { f.node.crash(f.down) }

func (f *drawnFault) crashAll() {
	for _, n := range f.w.nodes {
		n.crash(f.down)
	}
}

func (f *drawnFault) stateOutage() {
	f.w.store.setOutage(true)
	f.undo(func() { f.w.store.setOutage(false) })
}

func (f *drawnFault) stateOutageAndCrash() {
	f.w.store.setOutage(true)
	f.node.crash(f.down)
	f.undo(func() { f.w.store.setOutage(false) })
}

func (f *drawnFault) refuseOne() { f.w.refuse(f.node, f.duration, f.end) }

func (f *drawnFault) refuseOneWithoutPeers() {
	f.node.refused, f.node.meshCut = true, true
	f.undo(func() {
		f.node.refused, f.node.meshCut = false, false
		f.w.store.notify()
	})
}

func (f *drawnFault) cutOneFromWorkers() {
	f.node.workersCut = true
	f.undo(func() { f.node.workersCut = false })
}

func (f *drawnFault) isolateOne() { f.isolate(f.node) }

func (f *drawnFault) isolateOneAndCrashOthers() {
	for _, n := range f.w.nodes {
		if n != f.node {
			n.crash(f.down)
		}
	}
	f.isolate(f.node)
}

func (f *drawnFault) pauseOne() { f.node.pause(f.duration) }

func (f *drawnFault) pauseOneShortly() { f.node.pause(f.down / 3) }

func (f *drawnFault) pauseAll() {
	for _, n := range f.w.nodes {
		n.pause(f.w.between(0, f.duration))
	}
}

// pauseOneAndCrashNext pauses one controller, so that another takes over, and crashes the
// next one within four seconds, which may be the one that took over.
func (f *drawnFault) pauseOneAndCrashNext() {
	f.node.pause(f.duration)
	next := f.w.nodes[(f.node.i+1)%len(f.w.nodes)]
	f.w.after(f.w.between(0, 4*time.Second), func() { next.crash(f.soon) })
}

func (f *drawnFault) stateOutageAndPause() {
	f.w.store.setOutage(true)
	f.node.pause(f.duration / 2)
	f.undo(func() { f.w.store.setOutage(false) })
}

func (f *drawnFault) crashTwice() {
	f.node.crash(f.soon)
	f.w.after(f.soon+f.w.between(0, 2*time.Second), func() { f.node.crash(f.soon) })
}

func (f *drawnFault) stateOutageAndQuickRestart() {
	f.w.store.setOutage(true)
	f.w.after(f.w.between(time.Second, 4*time.Second), func() { f.node.crash(f.soon) })
	f.undo(func() { f.w.store.setOutage(false) })
}

// refuseAllInTurn makes the state service refuse all controllers, until after their leases
// may have run out, and accept them again at different times; one of them also crashes.
func (f *drawnFault) refuseAllInTurn() {
	for _, n := range f.w.nodes {
		f.w.refuse(n, f.duration/4+f.w.between(0, 4*time.Second), f.end)
	}
	f.w.after(f.w.between(0, 3*time.Second), func() { f.node.crash(f.soon) })
}

// refuse makes the state service refuse the calls of one controller for a while.
func (w *World) refuse(n *node, duration, end time.Duration) {
	n.refused = true
	w.after(w.untilEnd(duration, end), func() {
		n.refused = false
		w.store.notify()
	})
}

func (f *drawnFault) restartMachine() {
	f.oneMachine(func(h *host) { h.restart(f.soon) })
}

func (f *drawnFault) machineReceivesNothing() {
	f.oneMachine(func(h *host) {
		h.receivesNothing = true
		f.undo(func() { h.receivesNothing = false })
	})
}

func (f *drawnFault) machineReceivesNothingAndRestarts() {
	f.oneMachine(func(h *host) {
		h.receivesNothing = true
		f.undo(func() {
			h.receivesNothing = false
			h.restart(f.soon)
		})
	})
}

func (f *drawnFault) cutManyMachines()  { f.manyMachines(f.cut) }
func (f *drawnFault) hangManyMachines() { f.manyMachines(f.hang) }
func (f *drawnFault) loseManyMachines() { f.manyMachines((*host).vanish) }

func (f *drawnFault) restartManyMachines() {
	f.manyMachines(func(h *host) { h.restart(f.w.between(20*time.Millisecond, 6*time.Second)) })
}

func (f *drawnFault) crashAndCutManyMachines() {
	f.node.crash(f.down)
	f.manyMachines(f.cut)
}

func (f *drawnFault) cloudOutage() {
	f.w.cloud.outage = true
	f.undo(func() { f.w.cloud.outage = false })
}

func (f *drawnFault) cutMachine()  { f.oneMachine(f.cut) }
func (f *drawnFault) hangMachine() { f.oneMachine(f.hang) }
func (f *drawnFault) loseMachine() { f.oneMachine((*host).vanish) }

func (f *drawnFault) noticeMachine() {
	f.oneMachine(func(h *host) {
		h.notice = true
		f.w.after(5*time.Second, h.vanish)
	})
}

func (f *drawnFault) cut(h *host) {
	h.setCut(true)
	f.undo(func() { h.setCut(false) })
}

func (f *drawnFault) hang(h *host) {
	h.setHung(true)
	f.undo(func() { h.setHung(false) })
}

// oneMachine injects a fault into one of the machines that are up.
func (f *drawnFault) oneMachine(cause func(h *host)) {
	if hosts := f.w.hostsUp(); len(hosts) > 0 {
		cause(hosts[f.pick%uint64(len(hosts))])
	}
}

// manyMachines injects a fault into a random share of the machines that are up.
func (f *drawnFault) manyMachines(cause func(h *host)) {
	for _, h := range f.w.hostsUp() {
		if f.w.chance(f.share) {
			cause(h)
		}
	}
}

// hostsUp returns the machines that have booted and still exist.
func (w *World) hostsUp() []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.gone || h.up > w.now })
}
