package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/internal/history"
)

// Federation simulates several cells, each a World, on one clock. The links between them lose and delay
// calls and answers, and duplicate calls.
type Federation struct {
	Worlds []*World

	rng             *rand.Rand
	cutLinks        map[[2]int]bool                                 // links that are cut, by the indexes of the calling and the called cell
	lossless        bool                                            // links neither lose nor duplicate calls
	onCellCall      func(from, to *World, call controller.CellCall) // called for each call from one cell to another
	homeCells       map[string]*World                               // the cell to which each job was submitted, by job ID
	startsElsewhere map[string]int                                  // starts of tasks outside of their home cell, by job ID
	history         []history.Event
}

// NewFederation returns count linked cells. The first has few machines and lends nothing; each of the
// others lends lendCores cores.
func NewFederation(seed uint64, count int, lendCores float64) *Federation {
	c := newEmptyFederation(seed)
	for i := range count {
		w := New(seed*10+uint64(i), cellShape(i, 8))
		c.add(w)
		settings := config.Cell{Name: cellName(i), SpillAfter: 6 * time.Second, ReturnAfter: 20 * time.Second, LendCores: lendCores}
		if i == 0 {
			settings.LendCores = 0
		}
		for j := range count {
			if j != i {
				settings.Peers = append(settings.Peers, config.CellPeer{Name: cellName(j)})
			}
		}
		w.op.Cell = &settings
	}
	for _, w := range c.Worlds {
		for _, n := range w.controllers {
			n.boot()
		}
	}
	return c
}

// NewLiveFederation returns count cells without controllers, to which the caller adds real ones. The first
// cell has few machines.
func NewLiveFederation(ctx context.Context, seed uint64, count int) *Federation {
	c := newEmptyFederation(seed)
	for i := range count {
		w := NewLiveWorld(ctx, seed*10+uint64(i), cellShape(i, 4))
		c.add(w)
		w.live.inputs = c.Worlds[0].live.inputs
	}
	return c
}

func newEmptyFederation(seed uint64) *Federation {
	return &Federation{rng: rand.New(rand.NewPCG(seed, 99)), cutLinks: map[[2]int]bool{}, homeCells: map[string]*World{}, startsElsewhere: map[string]int{}}
}

// cellShape returns the shape of the cell with the given index. The first cell has firstMachines
// machines.
func cellShape(index, firstMachines int) Shape {
	shape := Cell
	if index == 0 {
		shape.Machines = firstMachines
	}
	return shape
}

// add adds a world as the next cell.
func (c *Federation) add(w *World) {
	w.federation, w.cellIndex = c, len(c.Worlds)
	c.Worlds = append(c.Worlds, w)
}

// RunLive runs all cells in real time for the given duration, or until a rule is violated.
func (c *Federation) RunLive(duration time.Duration) error { return runLive(c.Worlds, duration) }

func cellName(index int) string { return fmt.Sprintf("cell-%d", index) }

// Run runs the events of all cells in the order of time, until the given time or until a rule is
// violated.
func (c *Federation) Run(until time.Duration) {
	for len(c.Violations()) == 0 {
		var next *World
		for _, w := range c.Worlds {
			if len(w.events) > 0 && (next == nil || w.events[0].at < next.events[0].at) {
				next = w
			}
		}
		if next == nil || next.events[0].at > until {
			break
		}
		c.setNow(next.events[0].at)
		next.runNextEvent()
	}
	c.setNow(until)
}

func (c *Federation) setNow(now time.Duration) {
	for _, w := range c.Worlds {
		w.now = now
	}
}

// Violations lists the violated rules of all cells, each with the cell's name.
func (c *Federation) Violations() []string {
	var all []string
	for _, w := range c.Worlds {
		for _, r := range w.Violations {
			all = append(all, cellName(w.cellIndex)+": "+r)
		}
	}
	return all
}

// SetLink cuts or restores the link between two cells, in both directions.
func (c *Federation) SetLink(a, b int, up bool) {
	c.cutLinks[[2]int{a, b}], c.cutLinks[[2]int{b, a}] = !up, !up
}

// call delivers a call from the leader of one cell to the controllers of another, which are tried in
// turn. Unless links are lossless, the call or its answer may be lost and the call may be duplicated.
// Without an answer within 3 s the caller gets an empty reply.
func (c *Federation) call(n *member, call controller.CellCall) {
	w, incarnation := n.w, n.incarnation
	reply := once(func(r controller.CellReply) {
		r.ID = call.ID
		n.deliver(incarnation, r)
	})
	w.after(3*time.Second, func() { reply(controller.CellReply{}) })
	to := c.worldByName(string(call.To))
	if c.onCellCall != nil {
		c.onCellCall(w, to, call)
	}
	deliverRequest := func(answer func(controller.CellReply)) func() {
		return func() {
			if !c.cutLinks[[2]int{w.cellIndex, to.cellIndex}] {
				to.askCell(0, newCellRequest(w, call), answer)
			}
		}
	}
	if !c.lossless && c.rng.Float64() < 0.1 { // a delayed duplicate, whose answer is discarded
		w.after(w.between(time.Second, 90*time.Second), deliverRequest(func(controller.CellReply) {}))
	}
	if !c.lossless && c.rng.Float64() < 0.05 {
		return
	}
	w.after(w.latency()*4, deliverRequest(func(r controller.CellReply) {
		if !c.cutLinks[[2]int{to.cellIndex, w.cellIndex}] && (c.lossless || c.rng.Float64() > 0.05) {
			w.after(w.latency()*4, func() { reply(r) })
		}
	}))
}

// newCellRequest returns the request that the called cell receives.
func newCellRequest(from *World, call controller.CellCall) controller.CellRequest {
	return controller.CellRequest{From: cells.Cell(cellName(from.cellIndex)), Floor: call.Floor, Messages: call.Messages, Challenge: call.Challenge}
}

// askCell sends a request to the cell's controllers in turn, starting at index, until the leader
// answers. Without an answer of a leader it passes on an empty reply.
func (w *World) askCell(index int, r controller.CellRequest, answer func(controller.CellReply)) {
	if index == len(w.controllers) {
		answer(controller.CellReply{})
		return
	}
	n := w.controllers[index]
	if n.down() || n.paused {
		w.askCell(index+1, r, answer)
		return
	}
	n.ask(func(req uint64) controller.Input { r.Req = req; return r }, func(a controller.Answer) {
		body, ok := a.Body.(controller.CellAnswer)
		if a.Status != 200 || !ok {
			w.askCell(index+1, r, answer)
			return
		}
		answer(controller.CellReply{OK: true, Messages: body.Messages, AvailableCores: body.AvailableCores, Challenge: body.Challenge})
	})
}

func (c *Federation) worldByName(name string) *World {
	for _, w := range c.Worlds {
		if cellName(w.cellIndex) == name {
			return w
		}
	}
	return nil
}

// forEachTaskInAllCells calls fn for every task that runs or saves a checkpoint on a machine, in this cell and in
// all cells that are linked with it.
func (w *World) forEachTaskInAllCells(fn func(h *host, t *task)) {
	if w.federation == nil {
		w.forEachRunningTask(fn)
		return
	}
	for _, o := range w.federation.Worlds {
		o.forEachRunningTask(fn)
	}
}

// checkCrossCellRules checks two rules when a task starts: the task must not run in another cell (two_cells),
// and the team's cores in all cells together must stay within its limit in the home cell (quota). It
// also counts starts outside of the home cell.
func (w *World) checkCrossCellRules(h *host, t *task, j *simJob) {
	c := w.federation
	if c == nil {
		return
	}
	home := c.homeCells[j.spec.ID]
	if home != w {
		c.startsElsewhere[j.spec.ID]++
	}
	cores := j.spec.CPUs
	w.forEachTaskInAllCells(func(oh *host, o *task) {
		if o.id == t.id && oh.w != w {
			w.recordViolation("two_cells", "%s starts on %s while it is on %s of %s", t.id, h.id, oh.id, cellName(oh.w.cellIndex))
		}
		if oj := o.job; oj.spec.Team == j.spec.Team && c.homeCells[oj.spec.ID] == home {
			cores += oj.spec.CPUs
		}
	})
	if team := home.team(j.spec.Team); cores > team.CPUsMax+1e-6 {
		w.recordViolation("quota", "team %s of %s uses %v of %v cores in all cells", team.Name, cellName(home.cellIndex), cores, team.CPUsMax)
	}
}

// jobInAnyCell returns the job with the given ID from its home cell, or nil if there is none.
func (w *World) jobInAnyCell(id string) *simJob {
	if w.federation == nil {
		return nil
	}
	if home := w.federation.homeCells[id]; home != nil {
		return home.users.jobs[id]
	}
	return nil
}

// failCell crashes a cell's controllers and cuts off all its machines for a while. Tasks on these
// machines continue to run until the machines' leases expire.
func (w *World) failCell(duration time.Duration) {
	w.Log("%v %s is lost", w.now, cellName(w.cellIndex))
	for _, n := range w.controllers {
		n.crash(duration)
	}
	for _, h := range w.hosts {
		if !h.hasEnded {
			h.setPartitioned(true)
			w.after(duration, func() { h.setPartitioned(false) })
		}
	}
}
