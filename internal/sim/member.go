package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/mesh"
)

// member is a controller of the simulated deployment: a core with the parts around it that
// carry its calls and messages, or a real controller process.
type member struct {
	w                    *World
	index                int // index in World.controllers
	name                 string
	drift                float64 // clock drift: seconds gained per second, negative if the clock is slow
	core                 *controller.Core
	incarnation          int                                // number of process starts; replies addressed to an earlier process are dropped
	wakeAt               time.Duration                      // time of the next scheduled tick
	requests             map[uint64]func(controller.Answer) // callbacks of unanswered requests, by request number
	nextRequest          uint64
	stateRefused         bool             // the state service refuses its calls
	cutFromPeers         bool             // partitioned from the other controllers
	cutFromWorkers       bool             // partitioned from the workers
	cutFromStateAndPeers bool             // partitioned from the state service and from the other controllers
	pauseAfterStep       time.Duration    // how long the process pauses after its next step; 0: no pause is due
	paused               bool             // the process does not run, while its clock does
	deferred             []func()         // inputs and outputs to process on resume
	currentInput         controller.Input // input of the current step
	recentCommands       []func()         // recent direct commands, any of which may be delivered again after a crash
	live                 *liveController  // a real controller; nil: a core in virtual time
}

// down reports whether the process has stopped. A paused process is not down.
func (n *member) down() bool { return n.core == nil && n.live == nil }

func (n *member) clock() time.Time {
	now := n.w.start.Add(n.w.now + time.Duration(float64(n.w.now)*n.drift))
	if n.w.Tamper.Clock != nil {
		return n.w.Tamper.Clock(n, now)
	}
	return now
}

// boot starts a new process.
func (n *member) boot() {
	cfg := n.w.cfg
	cfg.Member = n.name
	cfg.Others = nil
	for i := range n.w.controllers {
		if i != n.index {
			cfg.Others = append(cfg.Others, config.Peer{Member: fmt.Sprintf("n%d", i)})
		}
	}
	if n.w.Tamper.Settings != nil {
		n.w.Tamper.Settings(&cfg)
	}
	start := n.clock()
	if n.w.Tamper.StartTime != nil {
		start = n.w.Tamper.StartTime(start)
	}
	n.incarnation++
	n.requests = map[uint64]func(controller.Answer){}
	n.core = controller.New(&cfg, n.w.op, rand.New(rand.NewPCG(n.w.rng.Uint64(), 1)), start)
	n.step(controller.Tick{})
}

// crash ends the process and starts a new one after the given downtime. Copies of its
// recent commands may still arrive.
func (n *member) crash(downtime time.Duration) {
	if n.core == nil {
		return
	}
	n.w.Log("%v crash %s", n.w.now, n.name)
	if n.isLeader() {
		n.w.recordLeaderEnd(downtime)
	}
	n.core = nil
	n.pauseAfterStep, n.paused, n.deferred = 0, false, nil
	for _, again := range n.recentCommands {
		if n.w.chance(0.5) {
			n.w.after(n.w.between(0, 30*time.Second), again)
		}
	}
	n.recentCommands = nil
	n.w.after(downtime, n.boot)
}

// pause stops the process in the middle of its next step, while its clock runs on, as a
// long garbage collection or a frozen virtual machine does. On resume, the outputs of that
// step are sent, and then the inputs that arrived during the pause are processed.
func (n *member) pause(duration time.Duration) { n.pauseAfterStep = duration }

// resume ends a pause, unless the paused process has crashed meanwhile.
func (n *member) resume(incarnation int) {
	if n.incarnation != incarnation || !n.paused {
		return
	}
	n.w.Log("%v %s goes on", n.w.now, n.name)
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, fn := range deferred {
		if n.incarnation == incarnation {
			fn()
		}
	}
}

// step passes an input to the core, carries out its outputs, and schedules the next tick
// for the time at which the core asks to be woken.
func (n *member) step(in controller.Input) {
	if n.core == nil {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.step(in) })
		return
	}
	n.currentInput = in
	startedAt := time.Now()
	outputs := n.core.Step(n.clock(), in)
	n.w.coreTime += time.Since(startedAt)
	for _, o := range outputs {
		if n.w.Tamper.Output != nil {
			o = n.w.Tamper.Output(n, o)
		}
		n.w.checkAuthority(n, o)
		n.w.checkRuns(o)
		if n.pauseAfterStep > 0 {
			n.deferred = append(n.deferred, func() { n.carryOut(o) })
		} else {
			n.carryOut(o)
		}
	}
	if n.core == nil {
		return
	}
	if n.pauseAfterStep > 0 {
		n.w.Log("%v %s stands still for %v", n.w.now, n.name, n.pauseAfterStep)
		incarnation := n.incarnation
		n.w.after(n.pauseAfterStep, func() { n.resume(incarnation) })
		n.pauseAfterStep, n.paused = 0, true
	}
	wake := n.w.now + n.core.Wake().Sub(n.clock()) + time.Millisecond
	if n.wakeAt <= n.w.now || wake < n.wakeAt {
		n.wakeAt = wake
		incarnation := n.incarnation
		n.w.after(wake-n.w.now, func() {
			if n.incarnation == incarnation && n.wakeAt <= n.w.now {
				n.step(controller.Tick{})
			}
		})
	}
}

// deliver passes a reply to the process that made the call, unless that process has
// ended. For a reply that arrives during a pause, the process may find on resume that
// the call has already timed out: half of these replies are replaced by empty ones.
func (n *member) deliver(incarnation int, in controller.Input) {
	if n.incarnation != incarnation {
		return
	}
	if n.paused && n.w.chance(0.5) {
		switch r := in.(type) {
		case controller.StateReply:
			in = controller.StateReply{ID: r.ID}
		case controller.WorkerReply:
			in = controller.WorkerReply{ID: r.ID, Machine: r.Machine}
		case controller.CloudReply:
			in = controller.CloudReply{ID: r.ID}
		}
	}
	n.step(in)
}

func (n *member) carryOut(o controller.Output) {
	switch o := o.(type) {
	case controller.Answer:
		if fn := n.requests[o.Req]; fn != nil {
			delete(n.requests, o.Req)
			fn(o)
		}
	case controller.StateCall:
		if o.Op == controller.OpTxn {
			n.w.Log("%v %s transaction %d: if %v then %d changes", n.w.now, n.name, o.ID, o.Txn.If, len(o.Txn.Then))
		}
		n.callState(o)
	case controller.CloudCall:
		n.w.cloud.call(n, o)
	case controller.WorkerCall:
		n.w.Log("%v %s commands %s: %v", n.w.now, n.name, o.Machine, o.Commands)
		n.callWorker(o)
	case controller.MeshSend:
		n.sendMesh(o)
	case controller.CellCall:
		n.w.federation.call(n, o)
	case controller.ZoneChanged:
		n.w.recordZoneChange(o)
	case controller.TaskRestarted:
		n.w.recordTaskRestart(o)
	case controller.MoveChanged:
		n.w.recordMove(n, o)
	case controller.LogRecord:
		n.w.Log("%v %s %s %v", n.w.now, n.name, o.Text, o.Attrs)
	}
}

func (n *member) sendMesh(o controller.MeshSend) {
	to := n.w.controllers[slices.IndexFunc(n.w.controllers, func(x *member) bool { return x.name == o.To })]
	if n.cutFromPeers || to.cutFromPeers || n.cutFromStateAndPeers || to.cutFromStateAndPeers {
		return
	}
	envelope := &mesh.Envelope{From: o.Envelope.From, Body: o.Envelope.Body}
	deliver := func() { to.step(controller.MeshMessage{Envelope: envelope}) }
	n.w.after(n.w.latency(), deliver)
	if n.w.sporadicFault(0.01) { // a duplicate, up to 15 s late
		n.w.after(n.w.between(100*time.Millisecond, 15*time.Second), deliver)
	}
}

// ask sends a request to the controller. fn is called with the answer, unless the
// controller crashes first.
func (n *member) ask(in func(req uint64) controller.Input, fn func(controller.Answer)) {
	if n.live != nil {
		n.live.ask(in(0), fn)
		return
	}
	n.nextRequest++
	req := n.nextRequest
	n.requests[req] = fn
	n.step(in(req))
}

// callState transmits a call to the state service and the reply back. The reply may be
// lost, and a transaction may be applied late.
func (n *member) callState(call controller.StateCall) {
	w, incarnation := n.w, n.incarnation
	reply := once(func(r controller.StateReply) {
		r.ID = call.ID
		if w.Tamper.StateReply != nil {
			w.Tamper.StateReply(&call, &r)
		}
		n.deliver(incarnation, r)
	})
	w.after(call.Timeout, func() { reply(controller.StateReply{}) })
	if w.Tamper.State != nil {
		if r, ok := w.Tamper.State(&call); ok {
			w.after(w.latency(), func() { reply(r) })
			return
		}
	}
	if n.cutFromStateAndPeers {
		return // the call times out
	}
	late, lost := w.latency()+w.between(0, w.faults.slowState), w.sporadicFault(0.004)
	sent := w.now
	if call.Op == controller.OpTxn {
		if w.sporadicFault(0.004) || w.chance(w.faults.lateWrites) {
			late, lost = w.between(time.Second, 20*time.Second), true
		}
		lost = lost || w.chance(w.faults.lostAnswers)
	}
	w.after(late, func() {
		w.store.handle(n, call, func(r controller.StateReply) {
			if call.Op == controller.OpTxn && lost {
				w.recordLostAnswer(sent, r)
			}
			if !lost && !n.cutFromStateAndPeers {
				w.after(w.latency(), func() { reply(r) })
			}
		})
	})
}

// callWorker sends direct commands to a machine. A partitioned machine receives them
// when the partition heals.
func (n *member) callWorker(call controller.WorkerCall) {
	w, incarnation := n.w, n.incarnation
	h := w.host(call.Machine)
	reply := once(func(r controller.WorkerReply) {
		r.ID, r.Machine = call.ID, call.Machine
		n.deliver(incarnation, r)
	})
	w.after(call.Timeout, func() { reply(controller.WorkerReply{}) })
	if h == nil {
		return
	}
	run := func(answer bool) func() {
		return func() {
			h.deliver(func() {
				status, rep := h.handleCommands(call.Commands)
				w.recordCommand(h, answer, status)
				if answer {
					w.after(w.latency(), func() { reply(controller.WorkerReply{Status: status, Report: rep}) })
				}
			})
		}
	}
	n.recentCommands = append(n.recentCommands, run(false))
	if len(n.recentCommands) > 40 {
		n.recentCommands = n.recentCommands[1:]
	}
	if n.cutFromWorkers || w.faults.isolated.separates(n, h) {
		return
	}
	delay := w.latency()
	if w.sporadicFault(0.01) || w.chance(w.faults.delayedCommands) { // delivered late, possibly long after the sender has timed out
		lateBy := w.between(2*time.Second, 40*time.Second)
		if w.faults.commandDelay > 0 {
			lateBy = w.faults.commandDelay
		}
		w.after(lateBy, run(false))
		return
	}
	w.after(delay, run(!w.chance(w.faults.lostCommandAnswers)))
}
