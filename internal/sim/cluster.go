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

// Cluster is several cells, each a world of its own, on one clock, with links between them that
// lose, delay and repeat what is sent.
type Cluster struct {
	Worlds []*World

	rng      *rand.Rand
	cut      map[[2]int]bool // links between cells, by their places, from and to
	lossless bool
	onCall   func(from, to *World, call controller.CellCall) // called when one cell calls another
	homes    map[string]*World                               // of jobs, by id
	ran      map[string]int                                  // tasks that have started in another cell than their home
	history  []history.Event
}

// NewCluster returns so many cells. The first has few machines of its own and lends nothing; the
// others lend so many cores.
func NewCluster(seed uint64, count int, lend float64) *Cluster {
	c := emptyCluster(seed)
	for i := range count {
		w := New(seed*10+uint64(i), cellShape(i, 8))
		c.add(w)
		settings := config.Cell{Name: cellName(i), SpillAfter: 6 * time.Second, ReturnAfter: 20 * time.Second, LendCores: lend}
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
		for _, n := range w.nodes {
			n.boot()
		}
	}
	return c
}

// NewLiveCluster returns so many cells without controllers: real ones are added to each. The first
// has few machines of its own.
func NewLiveCluster(ctx context.Context, seed uint64, count int) *Cluster {
	c := emptyCluster(seed)
	for i := range count {
		w := NewLive(ctx, seed*10+uint64(i), cellShape(i, 4))
		c.add(w)
		w.live.inputs = c.Worlds[0].live.inputs
	}
	return c
}

func emptyCluster(seed uint64) *Cluster {
	return &Cluster{rng: rand.New(rand.NewPCG(seed, 99)), cut: map[[2]int]bool{}, homes: map[string]*World{}, ran: map[string]int{}}
}

// cellShape is a cell's shape; the first has so few machines.
func cellShape(place, few int) Shape {
	shape := Cell
	if place == 0 {
		shape.Machines = few
	}
	return shape
}

// add makes a world a cell of the cluster.
func (c *Cluster) add(w *World) {
	w.cluster, w.place = c, len(c.Worlds)
	c.Worlds = append(c.Worlds, w)
}

// RunLive plays all cells for so long in real time, or until the first broken rule.
func (c *Cluster) RunLive(duration time.Duration) error { return runLive(c.Worlds, duration) }

func cellName(place int) string { return fmt.Sprintf("cell-%d", place) }

// Run plays all cells until the given time or the first broken rule.
func (c *Cluster) Run(until time.Duration) {
	for len(c.Rules()) == 0 {
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
		next.runOne()
	}
	c.setNow(until)
}

func (c *Cluster) setNow(now time.Duration) {
	for _, w := range c.Worlds {
		w.now = now
	}
}

// Rules lists the rules that are broken in any cell.
func (c *Cluster) Rules() []string {
	var all []string
	for _, w := range c.Worlds {
		for _, r := range w.Rules {
			all = append(all, cellName(w.place)+": "+r)
		}
	}
	return all
}

// SetLink cuts two cells off from each other, or joins them.
func (c *Cluster) SetLink(a, b int, up bool) {
	c.cut[[2]int{a, b}], c.cut[[2]int{b, a}] = !up, !up
}

// call carries a call from one cell's leader to the controllers of another one, tried in turn.
func (c *Cluster) call(n *node, call controller.CellCall) {
	w, life := n.w, n.life
	reply := once(func(r controller.CellReply) {
		r.ID = call.ID
		n.deliver(life, r)
	})
	w.after(3*time.Second, func() { reply(controller.CellReply{}) })
	to := c.world(string(call.To))
	if c.onCall != nil {
		c.onCall(w, to, call)
	}
	carry := func(answer func(controller.CellReply)) func() {
		return func() {
			if !c.cut[[2]int{w.place, to.place}] {
				to.askCell(0, requestOf(w, call), answer)
			}
		}
	}
	if !c.lossless && c.rng.Float64() < 0.1 { // a copy, much later
		w.after(w.between(time.Second, 90*time.Second), carry(func(controller.CellReply) {}))
	}
	if !c.lossless && c.rng.Float64() < 0.05 {
		return
	}
	w.after(w.latency()*4, carry(func(r controller.CellReply) {
		if !c.cut[[2]int{to.place, w.place}] && (c.lossless || c.rng.Float64() > 0.05) {
			w.after(w.latency()*4, func() { reply(r) })
		}
	}))
}

// requestOf is what a call of a cell asks another one.
func requestOf(from *World, call controller.CellCall) controller.CellRequest {
	return controller.CellRequest{From: cells.Cell(cellName(from.place)), Floor: call.Floor, Messages: call.Messages, Challenge: call.Challenge}
}

// askCell asks the cell's controllers in turn until one answers that leads.
func (w *World) askCell(from int, r controller.CellRequest, answer func(controller.CellReply)) {
	if from == len(w.nodes) {
		answer(controller.CellReply{})
		return
	}
	n := w.nodes[from]
	if n.down() || n.paused {
		w.askCell(from+1, r, answer)
		return
	}
	n.ask(func(req uint64) controller.Input { r.Req = req; return r }, func(a controller.Answer) {
		body, ok := a.Body.(controller.CellAnswer)
		if a.Status != 200 || !ok {
			w.askCell(from+1, r, answer)
			return
		}
		answer(controller.CellReply{OK: true, Messages: body.Messages, Room: body.Room, Challenge: body.Challenge})
	})
}

func (c *Cluster) world(name string) *World {
	for _, w := range c.Worlds {
		if cellName(w.place) == name {
			return w
		}
	}
	return nil
}

// everywhere calls fn for every task that is on a machine of any cell of the cluster.
func (w *World) everywhere(fn func(h *host, t *task)) {
	if w.cluster == nil {
		w.running(fn)
		return
	}
	for _, o := range w.cluster.Worlds {
		o.running(fn)
	}
}

// checkCells checks, as a task starts, that it runs in no other cell, and that its team keeps to its
// home's limit with what runs of it anywhere.
func (w *World) checkCells(h *host, t *task, j *simJob) {
	c := w.cluster
	if c == nil {
		return
	}
	home := c.homes[j.spec.ID]
	if home != w {
		c.ran[j.spec.ID]++
	}
	cores := j.spec.CPUs
	w.everywhere(func(oh *host, o *task) {
		if o.id == t.id && oh.w != w {
			w.broken("two_cells", "%s starts on %s, it is on %s of %s", t.id, h.id, oh.id, cellName(oh.w.place))
		}
		if oj := o.job; oj.spec.Team == j.spec.Team && c.homes[oj.spec.ID] == home {
			cores += oj.spec.CPUs
		}
	})
	if team := home.team(j.spec.Team); cores > team.CPUsMax+1e-6 {
		w.broken("quota", "team %s of %s uses %v of %v cores in all cells", team.Name, cellName(home.place), cores, team.CPUsMax)
	}
}

// jobAnywhere returns the job of a task, whichever cell its users belong to.
func (w *World) jobAnywhere(id string) *simJob {
	if w.cluster == nil {
		return nil
	}
	if home := w.cluster.homes[id]; home != nil {
		return home.users.jobs[id]
	}
	return nil
}

// loseCell ends a cell's controllers and cuts off all its machines for a while: what runs there runs
// on until its leases end.
func (w *World) loseCell(duration time.Duration) {
	w.Log("%v %s is lost", w.now, cellName(w.place))
	for _, n := range w.nodes {
		n.crash(duration)
	}
	for _, h := range w.hosts {
		if !h.gone {
			h.setCut(true)
			w.after(duration, func() { h.setCut(false) })
		}
	}
}
