// Package sim drives whole controllers' cores through seeded runs in virtual
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
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// Tamper breaks a safety rule on purpose, to show that the checks detect it.
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

// World is one simulated run.
type World struct {
	Rules  []string // rules broken, with what happened
	Log    func(string, ...any)
	Tamper Tamper

	shape         Shape
	faults        faults
	zoneHistory   zoneHistory
	cluster       *Cluster               // the cells that this one belongs to; nil: it is alone
	place         int                    // among them
	onStart       func(h *host, t *task) // called when a task starts
	onMove        func(n *node, m controller.MoveChanged)
	moves         []controller.MoveChanged // every step of every move
	onStopped     func(t *task)            // called when a task has ended because it was told to stop
	onFetch       func()                   // called when a start has to fetch its image
	alwaysUp      bool                     // machines all come up, and none is faulty
	processor     time.Duration            // that the controllers' cores took
	keepHistory   bool
	history       []history.Event
	live          *live    // real controllers in real time; nil: cores in virtual time
	deterministic bool     // nothing is lost, copied or late by chance
	topToken      uint64   // the highest that anything was sent with
	keptReports   []func() // copies of reports, for the next leader
	coverage      map[string]int
	lastLeader    *node // who acted for all last, and since when
	leaderSince   time.Duration
	faultsEnd     time.Duration // when all faults were over; 0: not yet
	rng           *rand.Rand
	start         time.Time
	now           time.Duration
	events        events
	seq           int
	cfg           config.Platform
	op            config.Operator
	nodes         []*node
	store         *store
	cloud         *cloud
	hosts         []*host
	users         *users
}

// faults are the faults that change what the world does for a while. Shares are of
// all that could be hit.
type faults struct {
	lateWrites         float64         // transactions carried out seconds later, after newer ones, unanswered
	lostAnswers        float64         // transactions carried out at once, unanswered
	slowState          time.Duration   // that each call of the state service may take
	delayedCommands    float64         // direct commands that arrive long after they were given up
	commandDelay       time.Duration   // by how much; 0: it is drawn
	lostCommandAnswers float64         // direct commands that are carried out, their answer given up
	duplicateReports   float64         // reports of which a copy arrives again, up to well over a lease later
	keepReports        float64         // reports of which a copy is kept for the next leader
	slowLinks          time.Duration   // that each message may take longer
	fastBoots          bool            // machines are up within two seconds
	isolated           isolatedZone    // a zone that is cut off, with a controller in it
	darkZones          map[string]bool // zones whose machines reach nobody, new ones either
	cancelAtEnd        float64         // jobs cancelled as their last task ends
	askAllNodes        bool            // users ask all nodes within milliseconds of what they are told
}

// isolatedZone is a zone and the controller in it that are cut off from everything else.
type isolatedZone struct {
	zone  string
	node  *node
	token uint64 // the highest that any machine had seen before
}

// parts reports whether a node and a machine can't reach each other for it.
func (i isolatedZone) parts(n *node, h *host) bool {
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

// New returns a run of the given shape.
func New(seed uint64, shape Shape) *World {
	w := &World{
		shape: shape,
		rng:   rand.New(rand.NewPCG(seed, 77)), start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		op: config.DefaultOperator(), Log: func(string, ...any) {}, coverage: map[string]int{},
		faults: faults{darkZones: map[string]bool{}},
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

// byChance draws what goes wrong by chance now and then.
func (w *World) byChance(p float64) bool { return w.chance(p) && !w.deterministic }

// latency of one message.
func (w *World) latency() time.Duration {
	if w.byChance(0.01) {
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

// runOne runs the next event.
func (w *World) runOne() { heap.Pop(&w.events).(event).fn() }

// runDue runs what is due by now.
func (w *World) runDue() {
	for len(w.events) > 0 && w.events[0].at <= w.now && len(w.Rules) == 0 {
		heap.Pop(&w.events).(event).fn()
	}
}

// broken notes a broken rule.
func (w *World) broken(rule, format string, args ...any) {
	w.Rules = append(w.Rules, fmt.Sprintf("%s at %v: %s", rule, w.now, fmt.Sprintf(format, args...)))
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

// zones are where machines can be rented.
func (s Shape) zones() []string {
	if s.Zones > 0 {
		return []string{"a", "b", "c", "d", "e"}[:s.Zones]
	}
	return []string{"a", "b"}
}

func (s Shape) types() []wire.MachineType {
	if s.Zones > 0 {
		return []wire.MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBps: 0.5, Price: 1, SpotPrice: 0.4, BootS: 8, Zones: s.zones()},
			{Name: "big", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBps: 0.5, Price: 3, SpotPrice: 1, BootS: 10, Zones: s.zones()},
		}
	}
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
