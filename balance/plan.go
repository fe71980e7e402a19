package balance

import (
	"cmp"
	"slices"

	"pumicefront/scheduler"
)

// TaskID names a task.
type TaskID struct {
	Job   string // the job's id
	Index int    // among the job's tasks
}

// Machine is a machine that counts, as a plan sees it.
type Machine struct {
	ID    string              // the machine's name
	Size  float64             // weight among machines, as scheduler.Measure has it
	Cap   scheduler.Resources // what it has in all
	Used  scheduler.Resources // by all that stays, what is on its way here included
	Tasks []Task              // that may be moved; needed of hot machines alone

	share float64 // its dominant share, while a plan is made
}

// Share is the machine's dominant share.
func (m *Machine) Share() float64 { return Share(m.Used, m.Cap) }

// Task is a running task that may be moved.
type Task struct {
	TaskID
	Team string              // the team that owns the task's job
	Each scheduler.Resources // what the task takes
	Cost float64             // in seconds of its time that the move loses

	OnlyImage string // a destination must have this image; empty: none need be there
}

// Picture is a fleet at a moment.
type Picture struct {
	Machines []Machine // all machines that count
	// Fits reports whether a machine has room for a task, and all that the task asks of a machine.
	Fits func(t *Task, m *Machine) bool
	// HasImage reports whether a machine has an image.
	HasImage func(m *Machine, image string) bool
}

// Move is a decision to move a task.
type Move struct {
	Task
	From, To string  // the machines that it leaves and goes to
	Gain     float64 // by which the measure falls
}

// Bounds on what is compared for one move.
const (
	destinationsTried = 64 // for a task, the emptiest first of those that have its image if it must be there
	sourcesCompared   = 16 // hot machines of which a task could move, the hottest first
)

// planner is a plan that is being made.
type planner struct {
	Picture
	settings Settings
	allowed  *Allowance
	hot      float64 // share above which a machine is hot
	byShare  []*Machine
	byImage  map[string][]*Machine // machines that have an image, the emptiest first; filled when it is asked for
	stuck    map[string]bool       // jobs of which a task of a hotter machine found no destination
	moves    []Move
}

// Plan returns the moves to make now, the best first: each time the one from a hot machine that lowers
// the measure, the sum over machines of size times the square of the share, most for its cost. It keeps
// to what is allowed, and changes the picture as if the moves were made.
func Plan(p Picture, s Settings, allowed *Allowance) []Move {
	if allowed.Moves <= 0 {
		return nil
	}
	plan := newPlanner(p, s, allowed)
	for allowed.Moves > 0 {
		from, best := plan.best()
		if from == nil {
			break
		}
		plan.carryOut(from, best)
	}
	return plan.moves
}

// newPlanner returns a planner that has made no moves.
func newPlanner(p Picture, s Settings, allowed *Allowance) *planner {
	plan := &planner{Picture: p, settings: s, allowed: allowed, hot: s.HotShare(Distribute(p.Machines).Mean),
		byImage: map[string][]*Machine{}, stuck: map[string]bool{}}
	for i := range p.Machines {
		m := &p.Machines[i]
		m.share = m.Share()
		plan.byShare = append(plan.byShare, m)
	}
	slices.SortFunc(plan.byShare, compareShares)
	return plan
}

// WithoutDestination counts, of each machine that is hot, the listed tasks that no other machine takes now
// for the better. It is the answer to why a task that tolerates a move stays.
func WithoutDestination(p Picture, s Settings) map[string]int {
	plan := newPlanner(p, s, nil)
	count := map[string]int{}
	for i := range p.Machines {
		from := &p.Machines[i]
		for k := range from.Tasks {
			if from.share > plan.hot && plan.destination(from, &from.Tasks[k]).task == nil {
				count[from.ID]++
			}
		}
	}
	return count
}

// compareShares orders machines by share, the emptiest first.
func compareShares(a, b *Machine) int {
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.ID, b.ID))
}

// choice is a possible move.
type choice struct {
	task *Task
	to   *Machine
	gain float64
}

// better reports whether a choice lowers the measure more for its cost than another one.
func (c choice) better(than choice) bool {
	if than.task == nil {
		return c.task != nil
	}
	return c.task != nil && c.gain/(1+c.task.Cost) > than.gain/(1+than.task.Cost)
}

// best returns the best move now; nil: there is none.
func (p *planner) best() (*Machine, choice) {
	var from *Machine
	var best choice
	compared := 0
	for _, m := range slices.Backward(p.byShare) {
		if m.share <= p.hot || compared == sourcesCompared {
			break
		}
		c := p.bestOf(m)
		if c.task != nil {
			compared++
		}
		if c.better(best) {
			from, best = m, c
		}
	}
	return from, best
}

// bestOf returns the best move of a task from a machine.
func (p *planner) bestOf(from *Machine) choice {
	var best choice
	for i := range from.Tasks {
		t := &from.Tasks[i]
		if p.stuck[t.Job] || !p.allowed.allows(t) {
			continue
		}
		c := p.destination(from, t)
		if c.task == nil {
			p.stuck[t.Job] = true // alike tasks of machines that are less hot would gain less
		}
		if c.better(best) {
			best = c
		}
	}
	return best
}

// destination returns the best destination of a task: the emptiest that fits, since the measure is convex.
func (p *planner) destination(from *Machine, t *Task) choice {
	tried := 0
	for _, to := range p.candidates(t) {
		if tried == destinationsTried || to.share >= from.share {
			break
		}
		if to == from {
			continue
		}
		tried++
		if !p.worth(from, to, t) || !p.Fits(t, to) {
			continue
		}
		return choice{t, to, gain(from, to, t)}
	}
	return choice{}
}

// candidates lists the machines that a task may go to as far as its image matters, the emptiest first.
func (p *planner) candidates(t *Task) []*Machine {
	if t.OnlyImage == "" {
		return p.byShare
	}
	listed, known := p.byImage[t.OnlyImage]
	if !known {
		for _, m := range p.byShare {
			if p.HasImage(m, t.OnlyImage) {
				listed = append(listed, m)
			}
		}
		p.byImage[t.OnlyImage] = listed
	}
	return listed
}

// worth reports whether a move lowers the larger of the two shares by enough, and makes its destination no
// hotter than its source stays, if hot at all. Tasks that only hot machines have the image of would stay
// for ever otherwise; the destination can give something else.
func (p *planner) worth(from, to *Machine, t *Task) bool {
	left := Share(from.Used.Add(t.Each, -1), from.Cap)
	grown := Share(to.Used.Add(t.Each, 1), to.Cap)
	return grown <= max(p.hot, left) && from.share-max(left, grown) >= p.settings.LeastGain
}

// gain is by how much a move lowers the measure.
func gain(from, to *Machine, t *Task) float64 {
	square := func(m *Machine, change float64) float64 {
		share := Share(m.Used.Add(t.Each, change), m.Cap)
		return m.Size * share * share
	}
	return square(from, 0) + square(to, 0) - square(from, -1) - square(to, 1)
}

// carryOut notes a move and changes the picture by it.
func (p *planner) carryOut(from *Machine, c choice) {
	t := *c.task
	p.moves = append(p.moves, Move{Task: t, From: from.ID, To: c.to.ID, Gain: c.gain})
	p.allowed.take(&t)
	from.Tasks = slices.DeleteFunc(slices.Clone(from.Tasks), func(o Task) bool { return o.TaskID == t.TaskID })
	p.use(from, from.Used.Add(t.Each, -1))
	p.use(c.to, c.to.Used.Add(t.Each, 1))
}

// use changes what is used of a machine, and keeps every list in order.
func (p *planner) use(m *Machine, used scheduler.Resources) {
	p.byShare = without(p.byShare, m)
	var images []string
	for image, list := range p.byImage {
		if shorter := without(list, m); len(shorter) < len(list) {
			p.byImage[image] = shorter
			images = append(images, image)
		}
	}
	m.Used = used
	m.share = m.Share()
	p.byShare = with(p.byShare, m)
	for _, image := range images {
		p.byImage[image] = with(p.byImage[image], m)
	}
}

// without takes a machine off a list that is in order, if it is there.
func without(list []*Machine, m *Machine) []*Machine {
	at, found := slices.BinarySearchFunc(list, m, compareShares)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// with puts a machine into a list that is in order.
func with(list []*Machine, m *Machine) []*Machine {
	at, _ := slices.BinarySearchFunc(list, m, compareShares)
	return slices.Insert(list, at, m)
}
