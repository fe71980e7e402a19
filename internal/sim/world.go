// Package sim simulates whole deployments in virtual time, from a seed. It runs the
// unmodified cores of the controllers against simulated implementations of the state
// service, the cloud, the workers, the network and the users. The safety rules are
// checked against the state of the simulated workers and users, never against a core's
// own view, at every step that can break one: a task's start, an answer to a user, and
// the end of the time within which a cancellation must take effect.
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

// Tamper is a set of optional hooks that alter messages, clocks or settings so that a
// run breaks a safety rule. Tests use it to show that the checks detect the violation.
type Tamper struct {
	Answer     func(w *World, r *controller.ReportRequest, a *controller.Answer)
	Report     func(h *host, late bool, r *wire.Report) // late: r is a delayed copy
	User       func(r *controller.UserRequest, a *controller.Answer)
	Output     func(n *member, o controller.Output) controller.Output
	StartTime  func(now time.Time) time.Time // the start time passed to a starting controller process
	State      func(call *controller.StateCall) (controller.StateReply, bool)
	StateReply func(call *controller.StateCall, r *controller.StateReply)
	Clock      func(n *member, now time.Time) time.Time
	Settings   func(p *config.Platform) // the settings passed to a starting controller process
	Cloud      func(call *controller.CloudCall) (controller.CloudReply, bool)
}

// World is one simulated run.
type World struct {
	Violations []string             // violations found so far: rule, time and details
	Log        func(string, ...any) // called with the format and arguments of each line of the run's log
	Tamper     Tamper

	shape              Shape
	faults             faults
	zoneHistory        zoneHistory
	federation         *Federation            // the group of cells that this cell is part of; nil: a single cell
	cellIndex          int                    // index of this cell in the federation
	onStart            func(h *host, t *task) // called when a task starts
	onMove             func(n *member, m controller.MoveChanged)
	moves              []controller.MoveChanged // every step of every move
	onStopped          func(t *task)            // called when a task has ended because of a stop command
	onFetch            func()                   // called when starting a task requires fetching its image
	machinesAlwaysBoot bool                     // every machine boots, and none is faulty
	coreTime           time.Duration            // time spent in the controllers' cores, by the wall clock
	keepHistory        bool
	history            []history.Event
	live               *liveRuntime   // real controllers in real time; nil: cores in virtual time
	deterministic      bool           // disables sporadic loss, duplication and delay of messages, except of calls to the cloud
	highestToken       uint64         // highest fencing token sent so far
	keptReports        []func()       // each delivers a copy of a report once a higher token is used
	coverage           map[string]int // how often each combination of faults has come about
	lastLeader         *member        // controller that last used a new highest token
	leaderSince        time.Duration  // when lastLeader last changed
	faultsEnd          time.Duration  // when all faults had ended; 0: not yet
	rng                *rand.Rand
	start              time.Time
	now                time.Duration
	events             events
	seq                int
	cfg                config.Platform
	op                 config.Operator
	controllers        []*member
	store              *store
	cloud              *cloud
	hosts              []*host
	users              *users
}

// faults are the temporary faults that change how the simulated environment behaves.
// A float64 is the probability that an operation of that kind is affected.
type faults struct {
	lateWrites         float64         // transactions applied seconds late, after newer ones, and never answered
	lostAnswers        float64         // transactions applied without delay but never answered
	slowState          time.Duration   // maximum extra latency of each call to the state service
	delayedCommands    float64         // direct commands that arrive after their sender has timed out
	commandDelay       time.Duration   // delay of delayedCommands; 0: random
	lostCommandAnswers float64         // direct commands that are executed but whose answer is lost
	duplicateReports   float64         // reports delivered a second time, up to 25 s later: well beyond a lease of 10 s
	keepReports        float64         // reports of which a copy is delivered to every controller once a higher token is used
	slowLinks          time.Duration   // maximum extra latency of each message
	fastBoots          bool            // machines boot within two seconds
	isolated           isolatedZone    // a zone that is partitioned from the rest, with one controller in it
	unreachableZones   map[string]bool // zones whose machines, including new ones, reach no controller
	cancelAtEnd        float64         // jobs cancelled at the moment their last task ends
	askAllControllers  bool            // users query every controller within 20 ms when a job is accepted, cancelled or has ended
}

// isolatedZone is a zone that is partitioned from everything else, together with the
// one controller in it.
type isolatedZone struct {
	zone       string
	controller *member
	token      uint64 // highest fencing token that any machine had seen before the partition
}

// separates reports whether the partition lies between a controller and a machine.
func (i isolatedZone) separates(n *member, h *host) bool {
	return i.controller != nil && (i.controller == n) != (i.zone == h.zone)
}

// event is a function to be called at a virtual time. Events of the same time run in
// the order in which they were scheduled.
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

// New returns a simulated deployment of the given shape, with all of its randomness
// derived from the seed.
func New(seed uint64, shape Shape) *World {
	w := &World{
		shape: shape,
		rng:   rand.New(rand.NewPCG(seed, 77)), start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		op: config.DefaultOperator(), Log: func(string, ...any) {}, coverage: map[string]int{},
		faults: faults{unreachableZones: map[string]bool{}},
	}
	w.cfg = settings(shape)
	w.store = newStore(w)
	w.cloud = newCloud(w)
	w.users = newUsers(w)
	for i := range shape.Controllers {
		n := &member{w: w, index: i, name: fmt.Sprintf("n%d", i), drift: (w.rng.Float64() - 0.5) * 0.0008}
		w.controllers = append(w.controllers, n)
	}
	for _, n := range w.controllers {
		n.boot()
	}
	return w
}

// after schedules fn to run once d has passed in virtual time.
func (w *World) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, fn})
}

// between draws a duration from lo to hi, both included.
func (w *World) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// sporadicFault draws whether a sporadic fault happens; it never does in a deterministic run.
func (w *World) sporadicFault(p float64) bool { return w.chance(p) && !w.deterministic }

// latency draws the latency of one message.
func (w *World) latency() time.Duration {
	if w.sporadicFault(0.01) {
		return w.between(50*time.Millisecond, 400*time.Millisecond)
	}
	return w.between(200*time.Microsecond, 3*time.Millisecond+w.faults.slowLinks)
}

// Run processes events until the given virtual time or the first violated rule.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && len(w.Violations) == 0 {
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

// runNextEvent runs the next event without advancing the clock.
func (w *World) runNextEvent() { heap.Pop(&w.events).(event).fn() }

// runDueEvents runs the events that are due by now, up to the first violated rule.
func (w *World) runDueEvents() {
	for len(w.events) > 0 && w.events[0].at <= w.now && len(w.Violations) == 0 {
		heap.Pop(&w.events).(event).fn()
	}
}

// recordViolation records the violation of a rule.
func (w *World) recordViolation(rule, format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%s at %v: %s", rule, w.now, fmt.Sprintf(format, args...)))
}

func (w *World) host(id string) *host {
	for _, h := range w.hosts {
		if h.id == id && !h.hasEnded {
			return h
		}
	}
	return nil
}

func (w *World) team(name string) config.Team {
	i := slices.IndexFunc(w.cfg.Facts.Teams, func(t config.Team) bool { return t.Name == name })
	return w.cfg.Facts.Teams[i]
}

// zones returns the zones in which machines can be rented.
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
