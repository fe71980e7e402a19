package sim

import (
	"fmt"
	"strings"
	"time"

	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

// Runs with load spreading, records of the moves, and faults during moves.

// enableLoadSpreading switches load spreading on for controllers that start from now on.
func (w *World) enableLoadSpreading(change func(*balance.Settings)) {
	settings := balance.DefaultSettings()
	if change != nil {
		change(&settings)
	}
	w.op.Spreading = &config.LoadSpreading{Settings: settings}
}

// recordMove records a step of a move.
func (w *World) recordMove(n *member, m controller.MoveChanged) {
	w.moves = append(w.moves, m)
	w.coverage["a move is "+m.Phase.String()]++
	if m.Outcome != "" {
		w.coverage["a move ends: "+string(m.Outcome)]++
	}
	if m.ReleaseReason != "" && m.ReleaseReason != balance.ReleasedMoveEnded {
		w.coverage["reserved room is released: "+string(m.ReleaseReason)]++
	}
	if w.onMove != nil {
		w.onMove(n, m)
	}
}

// The schedule of a run with faults during moves.
const (
	spreadFaultsEnd   = 240 * time.Second
	spreadFaultRunEnd = 560 * time.Second
)

// spreadFaultOptions returns the options of a run with faults. Its settings let moves start early, and
// its arrays complete within the run.
func spreadFaultOptions(seed uint64, controllers int) spreadOptions {
	return spreadOptions{machines: 20, controllers: controllers, seed: seed, enabled: true, arrayTaskRun: 150 * time.Second,
		changeSettings: func(s *balance.Settings) {
			s.Settled, s.Stay, s.Hold, s.CostShare = 8*time.Second, 80*time.Second, 6*time.Second, 0.3
		}}
}

// moveFault is a fault at a step of a move. Its inject function reports whether the fault could be
// caused.
type moveFault struct {
	name    string
	phase   balance.Phase
	jobKind string // kind of the moved task's job; empty: any
	inject  func(r *spreadRun, n *member, m controller.MoveChanged) bool
}

// afterCommands is the time after a step of a move by which its commands have arrived.
const afterCommands = 15 * time.Millisecond

// crashAfter crashes a leader after the given time.
func (r *spreadRun) crashAfter(n *member, d time.Duration) bool {
	r.w.after(d, func() { n.crash(3 * time.Second) })
	return true
}

// disturbHost applies a fault to a machine, and undoes it after undoAfter if undo is not nil. It reports
// whether the machine exists.
func (r *spreadRun) disturbHost(id string, do, undo func(h *host), undoAfter time.Duration) bool {
	h := r.w.host(id)
	if h == nil {
		return false
	}
	do(h)
	if undo != nil {
		r.w.after(undoAfter, func() { undo(h) })
	}
	return true
}

func hangHost(h *host)      { h.setHung(true) }
func resumeHost(h *host)    { h.setHung(false) }
func cutHost(h *host)       { h.setPartitioned(true) }
func reconnectHost(h *host) { h.setPartitioned(false) }

// disturbFor applies a fault for the given time.
func (r *spreadRun) disturbFor(d time.Duration, do, undo func()) bool {
	do()
	r.w.after(d, undo)
	return true
}

// cancelJob lets the user of a moved task's job cancel it.
func (r *spreadRun) cancelJob(m controller.MoveChanged) bool {
	r.w.users.cancel(r.w.users.jobs[m.Job])
	return true
}

// onPlacementWritten calls fn once, when the next successful answer to a write of the job's placements
// arrives.
func (r *spreadRun) onPlacementWritten(job string, fn func(reply *controller.StateReply)) bool {
	armed := true
	r.w.Tamper.StateReply = func(call *controller.StateCall, reply *controller.StateReply) {
		if armed && call.Op == controller.OpTxn && reply.Status == 200 && strings.HasPrefix(call.Txn.Then[0].Put, "t/"+job) {
			armed = false
			fn(reply)
		}
	}
	return true
}

// fillCapacity submits a prod service that takes all free cores, and cancels it after 40 s. It reports
// whether there were free cores for at least one task.
func (r *spreadRun) fillCapacity() bool {
	free := 0.0
	for _, h := range r.w.hostsUp() {
		free += spreadMachineCores - h.usedCores()
	}
	spec := wire.Job{ID: fmt.Sprintf("req-%06d", 900000+len(r.w.users.jobsBySubmission)), Class: "web", Team: "blue", Kind: wire.KindService, Priority: "prod",
		Tasks: int(free / 2), CPUs: 2, MemoryGB: 2, Image: "img-0", ImageGB: 1, Types: []string{"big"}}
	if spec.Tasks == 0 {
		return false
	}
	j := &simJob{spec: spec, done: make([]bool, spec.Tasks)}
	r.w.users.submitUncancelled(j)
	r.w.after(40*time.Second, func() { r.w.users.cancel(j) })
	return true
}

// moveFaults lists the faults that can occur during a move.
func moveFaults() []moveFault {
	return []moveFault{
		{"the task ends as it is stopped", balance.Stopping, wire.KindArray, func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			h := r.w.host(m.From)
			t := h.findTask(wire.TaskID(m.Job, m.Index), m.Attempt)
			if t == nil || t.state != wire.TaskRunning {
				return false
			}
			h.finish(t, t.job, m.Index)
			return true
		}},
		{"the leader crashes after the stop", balance.Stopping, "", func(r *spreadRun, n *member, _ controller.MoveChanged) bool { return r.crashAfter(n, afterCommands) }},
		{"the leader crashes after the save", balance.Stopping, wire.KindArray, func(r *spreadRun, n *member, m controller.MoveChanged) bool {
			r.w.onStopped = func(t *task) {
				if t.id == wire.TaskID(m.Job, m.Index) && t.job.saved[m.Index] > 0 {
					r.w.onStopped = nil
					n.crash(3 * time.Second)
				}
			}
			return true
		}},
		{"the leader crashes after the old attempt has ended", balance.Waiting, "", func(r *spreadRun, n *member, _ controller.MoveChanged) bool { return r.crashAfter(n, 0) }},
		{"the leader crashes after the placement is written", balance.Starting, "", func(r *spreadRun, n *member, m controller.MoveChanged) bool {
			return r.onPlacementWritten(m.Job, func(reply *controller.StateReply) {
				*reply = controller.StateReply{ID: reply.ID}
				r.crashAfter(n, 0)
			})
		}},
		{"a deposed leader's stop command is late", balance.Stopping, "", func(_ *spreadRun, n *member, _ controller.MoveChanged) bool {
			n.pause(7 * time.Second)
			return true
		}},
		{"a deposed leader's run command is late", balance.Starting, "", func(r *spreadRun, n *member, m controller.MoveChanged) bool {
			return r.onPlacementWritten(m.Job, func(*controller.StateReply) { n.pause(9 * time.Second) })
		}},
		{"the source hangs", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.From, hangHost, resumeHost, 14*time.Second)
		}},
		{"the source is cut off", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.From, cutHost, reconnectHost, 14*time.Second)
		}},
		{"half of the machines are cut off", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			for i, h := range r.w.hostsUp() {
				if h.id != m.To && i%2 == 0 || h.id == m.From {
					r.disturbHost(h.id, cutHost, reconnectHost, 9*time.Second)
				}
			}
			return true
		}},
		{"the source receives nothing", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.From, func(h *host) { h.receivesNothing = true }, func(h *host) { h.receivesNothing = false }, 12*time.Second)
		}},
		{"the destination is terminated", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.To, (*host).terminate, nil, 0)
		}},
		{"the destination hangs", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.To, hangHost, resumeHost, 14*time.Second)
		}},
		{"the cloud announces the termination of the destination", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool {
			return r.disturbHost(m.To, func(h *host) { h.terminationNotice = true; h.report() }, (*host).terminate, 5*time.Second)
		}},
		{"prod services take all room", balance.Stopping, wire.KindArray, func(r *spreadRun, _ *member, _ controller.MoveChanged) bool { return r.fillCapacity() }},
		{"the job is cancelled as it stops", balance.Stopping, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool { return r.cancelJob(m) }},
		{"the job is cancelled as it waits", balance.Waiting, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool { return r.cancelJob(m) }},
		{"the job is cancelled as it starts", balance.Starting, "", func(r *spreadRun, _ *member, m controller.MoveChanged) bool { return r.cancelJob(m) }},
		{"the job is cancelled and the leader crashes", balance.Stopping, "", func(r *spreadRun, n *member, m controller.MoveChanged) bool {
			return r.cancelJob(m) && r.crashAfter(n, afterCommands)
		}},
		{"the state service is out", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			return r.disturbFor(9*time.Second, func() { r.w.store.setOutage(true) }, func() { r.w.store.setOutage(false) })
		}},
		{"the state service refuses the leader", balance.Waiting, "", func(r *spreadRun, n *member, _ controller.MoveChanged) bool {
			return r.disturbFor(9*time.Second, func() { n.stateRefused = true }, func() { n.stateRefused = false })
		}},
		{"the state service answers late", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			return r.disturbFor(15*time.Second, func() { r.w.faults.slowState = 900 * time.Millisecond }, func() { r.w.faults.slowState = 0 })
		}},
		{"the state service loses answers", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			return r.disturbFor(15*time.Second, func() { r.w.faults.lostAnswers, r.w.faults.lateWrites = 0.4, 0.1 },
				func() { r.w.faults.lostAnswers, r.w.faults.lateWrites = 0, 0 })
		}},
		{"a third of the machines is drained", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			r.drainThird()
			return true
		}},
		{"old reports are delivered again", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			return r.disturbFor(20*time.Second, func() { r.w.faults.duplicateReports, r.w.faults.keepReports = 1, 0.5 },
				func() { r.w.faults.duplicateReports, r.w.faults.keepReports = 0, 0 })
		}},
		{"commands are late", balance.Stopping, "", func(r *spreadRun, _ *member, _ controller.MoveChanged) bool {
			return r.disturbFor(10*time.Second, func() { r.w.faults.delayedCommands, r.w.faults.commandDelay = 0.7, 9*time.Second },
				func() { r.w.faults.delayedCommands, r.w.faults.commandDelay = 0, 0 })
		}},
	}
}

// matches reports whether a step of a move is one at which the fault can be injected: the first in the
// fault's phase, for a job of its kind, and early enough before the end of the faults.
func (f moveFault) matches(r *spreadRun, m controller.MoveChanged) bool {
	first := m.Phase == balance.Stopping && m.StartedAt.Equal(m.At) || m.Phase != balance.Stopping && m.PreviousPhase != m.Phase
	kind := r.w.users.jobs[m.Job].spec.Kind
	return first && m.Outcome == "" && m.Phase == f.phase && (f.jobKind == "" || f.jobKind == kind) && r.w.now < spreadFaultsEnd-20*time.Second
}

// injectRepeatedly injects a fault at the first of every three steps that match it, up to three times.
func (r *spreadRun) injectRepeatedly(f moveFault) {
	steps := 0
	r.w.onMove = func(n *member, m controller.MoveChanged) {
		if !f.matches(r, m) {
			return
		}
		if steps++; steps%3 == 1 && r.w.coverage[f.name] < 3 && f.inject(r, n, m) {
			r.w.coverage[f.name]++
		}
	}
}

// injectRandomly injects a fault that the run's number selects, and once that one has been injected, randomly
// drawn faults at a fifth of the steps. It returns how often each fault was injected, and continues to update
// that map.
func (r *spreadRun) injectRandomly(run int) map[string]int {
	injected := map[string]int{}
	faults := moveFaults()
	first := faults[run%len(faults)]
	r.w.onMove = func(n *member, m controller.MoveChanged) {
		f := first
		if injected[first.name] > 0 {
			if r.w.chance(0.8) {
				return
			}
			f = faults[r.w.rng.IntN(len(faults))]
		}
		if f.matches(r, m) && f.inject(r, n, m) {
			injected[f.name]++
		}
	}
	return injected
}
