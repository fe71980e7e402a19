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

// Runs in which load is spread, and what is noted of the moves.

// setSpreading has controllers that start from now on spread load.
func (w *World) setSpreading(change func(*balance.Settings)) {
	settings := balance.DefaultSettings()
	if change != nil {
		change(&settings)
	}
	w.op.Spreading = &config.LoadSpreading{Settings: settings}
}

// noteMove notes a step of a move.
func (w *World) noteMove(n *node, m controller.MoveChanged) {
	w.moves = append(w.moves, m)
	w.coverage["a move is "+m.Phase.String()]++
	if m.Outcome != "" {
		w.coverage["a move ends: "+string(m.Outcome)]++
	}
	if m.Loss != "" && m.Loss != balance.LossOver {
		w.coverage["held room is given up: "+string(m.Loss)]++
	}
	if w.onMove != nil {
		w.onMove(n, m)
	}
}

// The course of a run with faults in the midst of moves.
const (
	spreadFaultsEnd = 240 * time.Second
	spreadPlayed    = 560 * time.Second
)

// faultySpread are the options of a run with faults: moves begin soon, and arrays end within it.
func faultySpread(seed uint64, controllers int) spreadOptions {
	return spreadOptions{machines: 20, controllers: controllers, seed: seed, on: true, arrayRun: 150 * time.Second,
		change: func(s *balance.Settings) {
			s.Settled, s.Stay, s.Hold, s.CostShare = 8*time.Second, 80*time.Second, 6*time.Second, 0.3
		}}
}

// moveFault is what goes wrong at a step of a move. It reports whether it could be brought about.
type moveFault struct {
	name  string
	phase balance.Phase
	only  string // kind of jobs; empty: any
	cause func(r *spreadRun, n *node, m controller.MoveChanged) bool
}

// soonAfter is when what happens right after a step happens: its commands have arrived.
const soonAfter = 15 * time.Millisecond

// crashAfter ends a leader after a moment.
func (r *spreadRun) crashAfter(n *node, d time.Duration) bool {
	r.w.after(d, func() { n.crash(3 * time.Second) })
	return true
}

// onHost does something to a machine now, and undoes it.
func (r *spreadRun) onHost(id string, do, undo func(h *host), undoAfter time.Duration) bool {
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

func hang(h *host)   { h.setHung(true) }
func unhang(h *host) { h.setHung(false) }
func cut(h *host)    { h.setCut(true) }
func rejoin(h *host) { h.setCut(false) }

// during has a fault of the whole world last for a while.
func (r *spreadRun) during(d time.Duration, do, undo func()) bool {
	do()
	r.w.after(d, undo)
	return true
}

// cancel has a job's user cancel it.
func (r *spreadRun) cancel(m controller.MoveChanged) bool {
	r.w.users.cancel(r.w.users.jobs[m.Job])
	return true
}

// afterRecord calls fn when the answer to the write of a job's placements arrives next.
func (r *spreadRun) afterRecord(job string, fn func(reply *controller.StateReply)) bool {
	armed := true
	r.w.Tamper.StateReply = func(call *controller.StateCall, reply *controller.StateReply) {
		if armed && call.Op == controller.OpTxn && reply.Status == 200 && strings.HasPrefix(call.Txn.Then[0].Put, "t/"+job) {
			armed = false
			fn(reply)
		}
	}
	return true
}

// fill submits prod services for all room that is left.
func (r *spreadRun) fill() bool {
	free := 0.0
	for _, h := range r.w.hostsUp() {
		free += spreadMachineCores - h.usedCores()
	}
	spec := wire.Job{ID: fmt.Sprintf("req-%06d", 900000+len(r.w.users.list)), Class: "web", Team: "blue", Kind: wire.KindService, Priority: "prod",
		Tasks: int(free / 2), CPUs: 2, MemoryGB: 2, Image: "img-0", ImageGB: 1, Types: []string{"big"}}
	if spec.Tasks == 0 {
		return false
	}
	j := &simJob{spec: spec, done: make([]bool, spec.Tasks)}
	r.w.users.enterQuietly(j)
	r.w.after(40*time.Second, func() { r.w.users.cancel(j) })
	return true
}

// moveFaults are the hard cases.
func moveFaults() []moveFault {
	return []moveFault{
		{"the task ends as it is stopped", balance.Stopping, wire.KindArray, func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			h := r.w.host(m.From)
			t := h.find(wire.TaskID(m.Job, m.Index), m.Attempt)
			if t == nil || t.state != wire.TaskRunning {
				return false
			}
			h.finish(t, t.job, m.Index)
			return true
		}},
		{"the leader ends after the stop", balance.Stopping, "", func(r *spreadRun, n *node, _ controller.MoveChanged) bool { return r.crashAfter(n, soonAfter) }},
		{"the leader ends after the save", balance.Stopping, wire.KindArray, func(r *spreadRun, n *node, m controller.MoveChanged) bool {
			r.w.onStopped = func(t *task) {
				if t.id == wire.TaskID(m.Job, m.Index) && t.job.saved[m.Index] > 0 {
					r.w.onStopped = nil
					n.crash(3 * time.Second)
				}
			}
			return true
		}},
		{"the leader ends after the proof", balance.Waiting, "", func(r *spreadRun, n *node, _ controller.MoveChanged) bool { return r.crashAfter(n, 0) }},
		{"the leader ends after the placement's record", balance.Starting, "", func(r *spreadRun, n *node, m controller.MoveChanged) bool {
			return r.afterRecord(m.Job, func(reply *controller.StateReply) {
				*reply = controller.StateReply{ID: reply.ID}
				r.crashAfter(n, 0)
			})
		}},
		{"a deposed leader's stop is late", balance.Stopping, "", func(_ *spreadRun, n *node, _ controller.MoveChanged) bool {
			n.pause(7 * time.Second)
			return true
		}},
		{"a deposed leader's run is late", balance.Starting, "", func(r *spreadRun, n *node, m controller.MoveChanged) bool {
			return r.afterRecord(m.Job, func(*controller.StateReply) { n.pause(9 * time.Second) })
		}},
		{"the source hangs", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.From, hang, unhang, 14*time.Second)
		}},
		{"the source is cut off", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.From, cut, rejoin, 14*time.Second)
		}},
		{"half of the machines are cut off", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			for i, h := range r.w.hostsUp() {
				if h.id != m.To && i%2 == 0 || h.id == m.From {
					r.onHost(h.id, cut, rejoin, 9*time.Second)
				}
			}
			return true
		}},
		{"the source hears nothing", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.From, func(h *host) { h.receivesNothing = true }, func(h *host) { h.receivesNothing = false }, 12*time.Second)
		}},
		{"the destination dies", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.To, (*host).vanish, nil, 0)
		}},
		{"the destination hangs", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.To, hang, unhang, 14*time.Second)
		}},
		{"the destination will be taken", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool {
			return r.onHost(m.To, func(h *host) { h.notice = true; h.report() }, (*host).vanish, 5*time.Second)
		}},
		{"prod services take all room", balance.Stopping, wire.KindArray, func(r *spreadRun, _ *node, _ controller.MoveChanged) bool { return r.fill() }},
		{"the job is cancelled as it stops", balance.Stopping, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool { return r.cancel(m) }},
		{"the job is cancelled as it waits", balance.Waiting, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool { return r.cancel(m) }},
		{"the job is cancelled as it starts", balance.Starting, "", func(r *spreadRun, _ *node, m controller.MoveChanged) bool { return r.cancel(m) }},
		{"the job is cancelled and the leader ends", balance.Stopping, "", func(r *spreadRun, n *node, m controller.MoveChanged) bool {
			return r.cancel(m) && r.crashAfter(n, soonAfter)
		}},
		{"the state service is out", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			return r.during(9*time.Second, func() { r.w.store.setOutage(true) }, func() { r.w.store.setOutage(false) })
		}},
		{"the state service refuses the leader", balance.Waiting, "", func(r *spreadRun, n *node, _ controller.MoveChanged) bool {
			return r.during(9*time.Second, func() { n.refused = true }, func() { n.refused = false })
		}},
		{"the state service answers late", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			return r.during(15*time.Second, func() { r.w.faults.slowState = 900 * time.Millisecond }, func() { r.w.faults.slowState = 0 })
		}},
		{"the state service loses answers", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			return r.during(15*time.Second, func() { r.w.faults.lostAnswers, r.w.faults.lateWrites = 0.4, 0.1 },
				func() { r.w.faults.lostAnswers, r.w.faults.lateWrites = 0, 0 })
		}},
		{"a third of the machines is drained", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			r.drainThird()
			return true
		}},
		{"late reports show tasks where they were", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			return r.during(20*time.Second, func() { r.w.faults.duplicateReports, r.w.faults.keepReports = 1, 0.5 },
				func() { r.w.faults.duplicateReports, r.w.faults.keepReports = 0, 0 })
		}},
		{"commands are late", balance.Stopping, "", func(r *spreadRun, _ *node, _ controller.MoveChanged) bool {
			return r.during(10*time.Second, func() { r.w.faults.delayedCommands, r.w.faults.commandDelay = 0.7, 9*time.Second },
				func() { r.w.faults.delayedCommands, r.w.faults.commandDelay = 0, 0 })
		}},
	}
}

// concerns reports whether a step of a move is the one that a fault comes at.
func (f moveFault) concerns(r *spreadRun, m controller.MoveChanged) bool {
	first := m.Phase == balance.Stopping && m.Began.Equal(m.At) || m.Phase != balance.Stopping && m.Was != m.Phase
	kind := r.w.users.jobs[m.Job].spec.Kind
	return first && m.Outcome == "" && m.Phase == f.phase && (f.only == "" || f.only == kind) && r.w.now < spreadFaultsEnd-20*time.Second
}

// repeat has every third of the steps that a fault concerns meet it, up to three times.
func (r *spreadRun) repeat(f moveFault) {
	steps := 0
	r.w.onMove = func(n *node, m controller.MoveChanged) {
		if !f.concerns(r, m) {
			return
		}
		if steps++; steps%3 == 1 && r.w.coverage[f.name] < 3 && f.cause(r, n, m) {
			r.w.coverage[f.name]++
		}
	}
}

// drawMoveFaults has the steps of moves meet one fault, which is another one in each run, and drawn ones
// from then on. It returns what has come about.
func (r *spreadRun) drawMoveFaults(run int) map[string]int {
	came := map[string]int{}
	faults := moveFaults()
	first := faults[run%len(faults)]
	r.w.onMove = func(n *node, m controller.MoveChanged) {
		f := first
		if came[first.name] > 0 {
			if r.w.chance(0.8) {
				return
			}
			f = faults[r.w.rng.IntN(len(faults))]
		}
		if f.concerns(r, m) && f.cause(r, n, m) {
			came[f.name]++
		}
	}
	return came
}
