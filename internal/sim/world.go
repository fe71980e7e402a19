// Package sim drives whole controllers' cores through seeded days in virtual
// time, with stand-ins for the state service, the cloud, the workers, the
// network and the users. The rules are checked from the workers' and the
// users' side at every step that can break one (a task's start, an answer, the
// end of a cancellation's time), never from what a core believes.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/mesh"
	"pumicefront/wire"
)

// Tamper breaks a safety rule on purpose, to show that the checks bite.
type Tamper struct {
	Answer     func(w *World, r *controller.ReportRequest, a *controller.Answer)
	Report     func(h *host, late bool, r *wire.Report)
	User       func(r *controller.UserRequest, a *controller.Answer)
	Output     func(n *node, o controller.Output) controller.Output
	Boot       func(now time.Time) time.Time // when a process believes that it starts
	State      func(call *controller.StateCall) (controller.StateReply, bool)
	StateReply func(call *controller.StateCall, r *controller.StateReply)
	Clock      func(n *node, now time.Time) time.Time
	Settings   func(p *config.Platform) // what a process that starts is told
	Cloud      func(call *controller.CloudCall) (controller.CloudReply, bool)
}

// Shape is the size of a deployment.
type Shape struct {
	Controllers int
	Machines    int           // the most that the cloud gives, half of them of each type
	Scale       float64       // of the teams' guarantees and limits
	Tasks       int           // the most that an array has
	Arrive      time.Duration // between submissions, in the mean
	GPUs        bool          // are what the teams share; reports come seldom and little can be written
	Chains      bool          // users submit pipelines, and the state service lowers its limits
}

// The shapes that days are played in: as the first deployments are, as they have
// grown, and as the fleets are with half as many machines again; and where GPUs
// are shared, small and with more machines than any deployment has.
var (
	Small = Shape{Controllers: 3, Machines: 9, Scale: 1, Tasks: 7, Arrive: 4 * time.Second}
	Grown = Shape{Controllers: 5, Machines: 240, Scale: 20, Tasks: 120, Arrive: 3 * time.Second}
	Fleet = Shape{Controllers: 5, Machines: 1900, Scale: 400, Tasks: 300, Arrive: 600 * time.Millisecond}
	Hall  = Shape{Controllers: 3, Machines: 9, Scale: 1, Tasks: 7, Arrive: 4 * time.Second, GPUs: true}
	Chain = Shape{Controllers: 3, Machines: 24, Scale: 4, Tasks: 20, Arrive: 6 * time.Second, Chains: true}
	Halls = Shape{Controllers: 5, Machines: 2600, Scale: 80, Tasks: 150, Arrive: 700 * time.Millisecond, GPUs: true}
)

// World is one simulated day.
type World struct {
	Rules  []string // rules broken, with what happened
	Log    func(string, ...any)
	Tamper Tamper

	shape    Shape
	faults   faults
	still    bool     // nothing is lost, copied or late by chance
	topToken uint64   // the highest that anything was sent with
	kept     []func() // copies of reports, for the next leader
	met      map[string]int
	led      *node // who acted for all last, and since when
	ledSince time.Duration
	calmFrom time.Duration // when all troubles were over; 0: not yet
	rng      *rand.Rand
	start    time.Time
	now      time.Duration
	events   events
	seq      int
	cfg      config.Platform
	op       config.Operator
	nodes    []*node
	store    *store
	cloud    *cloud
	hosts    []*host
	users    *users
}

// faults are the troubles that change what the world does for a while. Shares are of
// all that could be hit.
type faults struct {
	lateWrites   float64       // transactions carried out seconds later, after newer ones, unanswered
	lostAnswers  float64       // transactions carried out at once, unanswered
	slowState    time.Duration // that each call of the state service may take
	heldCommands float64       // direct commands that arrive long after they were given up
	heldFor      time.Duration // by how much; 0: it is drawn
	heldAnswers  float64       // direct commands that are carried out, their answer given up
	copies       float64       // reports of which a copy arrives again, up to well over a lease later
	forNext      float64       // reports of which a copy is kept for the next leader
	slowLinks    time.Duration // that each message may take longer
	quickBoots   bool          // machines are up within two seconds
	island       island        // a zone that is cut off, with a controller in it
	cancelAtEnd  float64       // jobs called off as their last task ends
	closeLooks   bool          // users ask all nodes within milliseconds of what they are told
}

// island is a zone and the controller in it that are cut off from everything else.
type island struct {
	zone string
	node *node
}

// parts tells whether a node and a machine can't reach each other for it.
func (i island) parts(n *node, h *host) bool {
	return i.node != nil && (i.node == n) != (i.zone == h.zone)
}

// event runs at its time; equal times keep their order.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New returns a day of the given shape.
func New(seed uint64, shape Shape) *World {
	w := &World{
		shape: shape,
		rng:   rand.New(rand.NewPCG(seed, 77)), start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		op: config.DefaultOperator(), Log: func(string, ...any) {}, met: map[string]int{},
	}
	w.cfg = settings(shape)
	w.store = newStore(w)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	for i := range shape.Controllers {
		n := &node{w: w, i: i, name: fmt.Sprintf("n%d", i), drift: (w.rng.Float64() - 0.5) * 0.0008}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func settings(s Shape) config.Platform {
	var p config.Platform
	f := &p.Facts
	f.Teams = []config.Team{{Name: "red", CPUs: 16 * s.Scale, CPUsMax: 24 * s.Scale}, {Name: "blue", CPUs: 8 * s.Scale, CPUsMax: 40 * s.Scale}}
	f.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 2, Share: 0.9}}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 2, 10, 24
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 150, 60, 8, 16
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 5
	f.Resources.MemoryMB, f.Resources.MaxConnections = 125, 1500
	if s.Chains {
		next := config.Limits{ValueKB: 1.2, TxnOps: 5, WriteRPS: 42}
		f.State.Next.ValueKB, f.State.Next.TxnOps, f.State.Next.WriteRPS = &next.ValueKB, &next.TxnOps, &next.WriteRPS
		f.Objectives = append(f.Objectives, config.Objective{Kind: "deadline", Class: "last", Times: 1})
	}
	if s.GPUs { // one team has GPUs alone, one cores alone, one both
		f.Teams = []config.Team{{Name: "red", GPUs: 4 * s.Scale, GPUsMax: 8 * s.Scale},
			{Name: "blue", CPUs: 12 * s.Scale, CPUsMax: 48 * s.Scale, GPUs: 2 * s.Scale, GPUsMax: 9 * s.Scale},
			{Name: "green", CPUs: 10 * s.Scale, CPUsMax: 30 * s.Scale}}
		f.Objectives = append(f.Objectives, config.Objective{Kind: "deadline", Class: "batch", Times: 1})
		f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 10, 45, 70
		f.State.WriteRPS = 25
	}
	return p
}

// after schedules fn.
func (w *World) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, fn})
}

// between draws a duration.
func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// mishap draws what goes wrong by chance now and then.
func (w *World) mishap(p float64) bool { return w.chance(p) && !w.still }

// latency of one message.
func (w *World) latency() time.Duration {
	if w.mishap(0.01) {
		return w.between(50*time.Millisecond, 400*time.Millisecond)
	}
	return w.between(200*time.Microsecond, 3*time.Millisecond+w.faults.slowLinks)
}

// Run plays until the given time or the first broken rule.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && len(w.Rules) == 0 {
		e := heap.Pop(&w.events).(event)
		if e.at > until {
			heap.Push(&w.events, e)
			break
		}
		w.now = e.at
		e.fn()
	}
	w.now = until
}

// broken notes a broken rule.
func (w *World) broken(rule, format string, args ...any) {
	w.Rules = append(w.Rules, fmt.Sprintf("%s at %v: %s", rule, w.now, fmt.Sprintf(format, args...)))
}

// node is a controller and the shell around its core.
type node struct {
	w        *World
	i        int
	name     string
	drift    float64
	core     *controller.Core
	life     int // raised with every start: replies to an earlier process are dropped
	wakeAt   time.Duration
	requests map[uint64]func(controller.Answer)
	nextReq  uint64
	refused  bool // by the state service
	meshCut  bool
	deaf     bool          // cut off from the workers
	cutOff   bool          // neither the state service nor the other controllers are reached
	freezing time.Duration // stands still after the next step, for so long
	frozen   bool          // stands still while its clocks run on
	held     []func()      // what it does when it goes on
	cause    controller.Input
	sent     []func() // commands carried out lately, which may be repeated after a crash
}

func (n *node) clock() time.Time {
	now := n.w.start.Add(n.w.now + time.Duration(float64(n.w.now)*n.drift))
	if n.w.Tamper.Clock != nil {
		return n.w.Tamper.Clock(n, now)
	}
	return now
}

func (n *node) boot() {
	cfg := n.w.cfg
	cfg.Member = n.name
	cfg.Others = nil
	for i := range n.w.nodes {
		if i != n.i {
			cfg.Others = append(cfg.Others, config.Peer{Member: fmt.Sprintf("n%d", i)})
		}
	}
	if n.w.Tamper.Settings != nil {
		n.w.Tamper.Settings(&cfg)
	}
	start := n.clock()
	if n.w.Tamper.Boot != nil {
		start = n.w.Tamper.Boot(start)
	}
	n.life++
	n.requests = map[uint64]func(controller.Answer){}
	n.core = controller.New(&cfg, n.w.op, rand.New(rand.NewPCG(n.w.rng.Uint64(), 1)), start)
	n.step(controller.Tick{})
}

// crash ends the process; copies of its commands may still arrive.
func (n *node) crash(down time.Duration) {
	if n.core == nil {
		return
	}
	n.w.Log("%v crash %s", n.w.now, n.name)
	if n.leads() {
		n.w.leaderEnds(down)
	}
	n.core = nil
	n.freezing, n.frozen, n.held = 0, false, nil
	for _, again := range n.sent {
		if n.w.chance(0.5) {
			n.w.after(n.w.between(0, 30*time.Second), again)
		}
	}
	n.sent = nil
	n.w.after(down, n.boot)
}

// stand makes the process stand still while its clocks run on, in the middle of its
// next step: what that has decided goes out when it goes on, and so does all that
// has arrived meanwhile.
func (n *node) stand(still time.Duration) { n.freezing = still }

func (n *node) goOn(life int) {
	if n.life != life || !n.frozen {
		return
	}
	n.w.Log("%v %s goes on", n.w.now, n.name)
	n.frozen = false
	held := n.held
	n.held = nil
	for _, fn := range held {
		if n.life == life {
			fn()
		}
	}
}

func (n *node) step(in controller.Input) {
	if n.core == nil {
		return
	}
	if n.frozen {
		n.held = append(n.held, func() { n.step(in) })
		return
	}
	n.cause = in
	for _, o := range n.core.Step(n.clock(), in) {
		if n.w.Tamper.Output != nil {
			o = n.w.Tamper.Output(n, o)
		}
		n.w.checkAuthority(n, o)
		n.w.checkRuns(o)
		if n.freezing > 0 {
			n.held = append(n.held, func() { n.carryOut(o) })
		} else {
			n.carryOut(o)
		}
	}
	if n.core == nil {
		return
	}
	if n.freezing > 0 {
		n.w.Log("%v %s stands still for %v", n.w.now, n.name, n.freezing)
		life := n.life
		n.w.after(n.freezing, func() { n.goOn(life) })
		n.freezing, n.frozen = 0, true
	}
	wake := n.w.now + n.core.Wake().Sub(n.clock()) + time.Millisecond
	if n.wakeAt <= n.w.now || wake < n.wakeAt {
		n.wakeAt = wake
		life := n.life
		n.w.after(wake-n.w.now, func() {
			if n.life == life && n.wakeAt <= n.w.now {
				n.step(controller.Tick{})
			}
		})
	}
}

// deliver hands a reply to the process that asked, if it still runs. One that has
// come while the process stands still may be found after its time has run out.
func (n *node) deliver(life int, in controller.Input) {
	if n.life != life {
		return
	}
	if n.frozen && n.w.chance(0.5) {
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

func (n *node) carryOut(o controller.Output) {
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
	case controller.Event:
		n.w.Log("%v %s %s %v", n.w.now, n.name, o.Text, o.Attrs)
	}
}

func (n *node) sendMesh(o controller.MeshSend) {
	to := n.w.nodes[slices.IndexFunc(n.w.nodes, func(x *node) bool { return x.name == o.To })]
	if n.meshCut || to.meshCut || n.cutOff || to.cutOff {
		return
	}
	copyOf := &mesh.Envelope{From: o.Envelope.From, Body: o.Envelope.Body}
	deliver := func() { to.step(controller.MeshMessage{Envelope: copyOf}) }
	n.w.after(n.w.latency(), deliver)
	if n.w.mishap(0.01) { // a copy, much later
		n.w.after(n.w.between(100*time.Millisecond, 15*time.Second), deliver)
	}
}

// ask sends a request to the node; fn gets the answer unless the node dies.
func (n *node) ask(in func(req uint64) controller.Input, fn func(controller.Answer)) {
	n.nextReq++
	req := n.nextReq
	n.requests[req] = fn
	n.step(in(req))
}

// callState carries a call to the store and the reply back. A reply may be lost
// and a transaction may be applied late.
func (n *node) callState(call controller.StateCall) {
	w, life, done := n.w, n.life, false
	reply := func(r controller.StateReply) {
		if done {
			return
		}
		done = true
		r.ID = call.ID
		if w.Tamper.StateReply != nil {
			w.Tamper.StateReply(&call, &r)
		}
		n.deliver(life, r)
	}
	w.after(call.Timeout, func() { reply(controller.StateReply{}) })
	if w.Tamper.State != nil {
		if r, ok := w.Tamper.State(&call); ok {
			w.after(w.latency(), func() { reply(r) })
			return
		}
	}
	if n.cutOff {
		return // until the call is given up
	}
	late, lost := w.latency()+w.between(0, w.faults.slowState), w.mishap(0.004)
	sent := w.now
	if call.Op == controller.OpTxn {
		if w.mishap(0.004) || w.chance(w.faults.lateWrites) {
			late, lost = w.between(time.Second, 20*time.Second), true
		}
		lost = lost || w.chance(w.faults.lostAnswers)
	}
	w.after(late, func() {
		w.store.handle(n, call, func(r controller.StateReply) {
			if call.Op == controller.OpTxn && lost {
				w.carriedOut(sent, r)
			}
			if !lost && !n.cutOff {
				w.after(w.latency(), func() { reply(r) })
			}
		})
	})
}

// callWorker sends direct commands; a cut machine gets them when the cut ends.
func (n *node) callWorker(call controller.WorkerCall) {
	w, life, done := n.w, n.life, false
	h := w.host(call.Machine)
	reply := func(r controller.WorkerReply) {
		if !done {
			done = true
			r.ID, r.Machine = call.ID, call.Machine
			n.deliver(life, r)
		}
	}
	w.after(call.Timeout, func() { reply(controller.WorkerReply{}) })
	if h == nil {
		return
	}
	run := func(answer bool) func() {
		return func() {
			h.reach(func() {
				status, rep := h.commands(call.Commands)
				w.commanded(h, answer, status)
				if answer {
					w.after(w.latency(), func() { reply(controller.WorkerReply{Status: status, Report: rep}) })
				}
			})
		}
	}
	n.sent = append(n.sent, run(false))
	if len(n.sent) > 40 {
		n.sent = n.sent[1:]
	}
	if n.deaf || w.faults.island.parts(n, h) {
		return
	}
	delay := w.latency()
	if w.mishap(0.01) || w.chance(w.faults.heldCommands) { // held on its way, long after the sender gave up
		held := w.between(2*time.Second, 40*time.Second)
		if w.faults.heldFor > 0 {
			held = w.faults.heldFor
		}
		w.after(held, run(false))
		return
	}
	w.after(delay, run(!w.chance(w.faults.heldAnswers)))
}

func (w *World) host(id string) *host {
	for _, h := range w.hosts {
		if h.id == id && !h.gone {
			return h
		}
	}
	return nil
}

func (w *World) team(name string) config.Team {
	i := slices.IndexFunc(w.cfg.Facts.Teams, func(t config.Team) bool { return t.Name == name })
	return w.cfg.Facts.Teams[i]
}

func (s Shape) types() []wire.MachineType {
	if s.GPUs {
		return []wire.MachineType{
			{Name: "small", CPUs: 12, GPUs: 2, MemoryGB: 72, CacheGB: 50, FetchGBps: 0.5, Price: 5, SpotPrice: 1.4, BootS: 8, Zones: []string{"a", "b"}},
			{Name: "big", CPUs: 24, GPUs: 4, MemoryGB: 144, CacheGB: 50, FetchGBps: 0.5, Price: 13, SpotPrice: 3.6, BootS: 10, Zones: []string{"a", "b"}},
		}
	}
	return []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 0.5, Price: 1, SpotPrice: 0.4, BootS: 8, Zones: []string{"a", "b"}},
		{Name: "big", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBps: 0.5, Price: 3, SpotPrice: 1, BootS: 10, Zones: []string{"a", "b"}},
	}
}
