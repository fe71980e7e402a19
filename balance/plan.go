package balance

import (
	"cmp"
	"slices"

	"pumicefront/scheduler"
)

// TaskID identifies a task.
type TaskID struct {
	Job   string // the job's id
	Index int    // the task's index in its job
}

// Machine is the state of a machine that takes part in load spreading.
type Machine struct {
	ID    string              // the machine's name
	Size  float64             // size in cores, as scheduler.Measure computes it
	Cap   scheduler.Resources // total resources
	Used  scheduler.Resources // resources of its tasks except those being stopped, and room reserved for other tasks
	Tasks []Task              // tasks that may be moved; needed only for hot machines

	share float64 // dominant share, kept up to date while a plan is made
}

// Share returns the machine's dominant share.
func (m *Machine) Share() float64 { return Share(m.Used, m.Cap) }

// Task is a running task that may be moved.
type Task struct {
	TaskID
	Team      string              // the team that owns the task's job
	Resources scheduler.Resources // resources of the task
	Cost      float64             // time that the task loses by a move, in seconds

	OnlyImage string // image that a destination must already have; empty if it may be fetched
}

// FleetSnapshot is a snapshot of the fleet.
type FleetSnapshot struct {
	Machines []Machine // all machines that take part in load spreading
	// Fits reports whether a machine has room for a task and meets all its constraints.
	Fits func(t *Task, m *Machine) bool
	// HasImage reports whether a machine has an image.
	HasImage func(m *Machine, image string) bool
}

// Move is a decision to move a task.
type Move struct {
	Task
	From, To string  // the machines that it leaves and goes to
	Gain     float64 // by how much the move lowers the imbalance, see Plan
}

// Limits on the alternatives that are compared for one move.
const (
	maxDestinations = 64 // machines tried per task, the least loaded first; only those with the image if the task requires it there
	maxSources      = 16 // hot machines with a task that can move, the hottest first
)

// planner is the state of a plan while it is made.
type planner struct {
	FleetSnapshot
	settings               Settings
	allowance              *Allowance
	hotShare               float64               // share above which a machine is hot
	byShare                []*Machine            // all machines, the least loaded first
	byImage                map[string][]*Machine // machines that have an image, the least loaded first; filled in on demand
	jobsWithoutDestination map[string]bool       // jobs with a task on a hotter machine that found no destination
	moves                  []Move
}

// Plan returns the moves to make now, the best first. Each is the move off a hot machine that lowers the
// imbalance most for its cost. The imbalance is the sum over all machines of size times the square of the
// share. Plan stays within the allowance and changes the machines of the snapshot as if the moves were made.
func Plan(fleet FleetSnapshot, s Settings, allowance *Allowance) []Move {
	if allowance.Moves <= 0 {
		return nil
	}
	plan := newPlanner(fleet, s, allowance)
	for allowance.Moves > 0 {
		from, best := plan.bestMove()
		if from == nil {
			break
		}
		plan.applyMove(from, best)
	}
	return plan.moves
}

// newPlanner returns a planner without moves.
func newPlanner(fleet FleetSnapshot, s Settings, allowance *Allowance) *planner {
	plan := &planner{FleetSnapshot: fleet, settings: s, allowance: allowance, hotShare: s.HotShare(NewDistribution(fleet.Machines).Mean),
		byImage: map[string][]*Machine{}, jobsWithoutDestination: map[string]bool{}}
	for i := range fleet.Machines {
		m := &fleet.Machines[i]
		m.share = m.Share()
		plan.byShare = append(plan.byShare, m)
	}
	slices.SortFunc(plan.byShare, compareShares)
	return plan
}

// WithoutDestination counts, by hot machine, the movable tasks for which no other machine would be an
// improvement now. It explains why a task that tolerates a move stays.
func WithoutDestination(fleet FleetSnapshot, s Settings) map[string]int {
	plan := newPlanner(fleet, s, nil)
	count := map[string]int{}
	for i := range fleet.Machines {
		from := &fleet.Machines[i]
		for k := range from.Tasks {
			if from.share > plan.hotShare && plan.bestDestination(from, &from.Tasks[k]).task == nil {
				count[from.ID]++
			}
		}
	}
	return count
}

// compareShares orders machines by share, the least loaded first.
func compareShares(a, b *Machine) int {
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.ID, b.ID))
}

// candidateMove is a possible move; its task is nil if there is none.
type candidateMove struct {
	task *Task
	to   *Machine
	gain float64
}

// betterThan reports whether a move lowers the imbalance more for its cost than another one: it compares the
// gain per second of cost, with one second added to every cost so that a move without cost has a finite rank.
func (c candidateMove) betterThan(other candidateMove) bool {
	if other.task == nil {
		return c.task != nil
	}
	return c.task != nil && c.gain/(1+c.task.Cost) > other.gain/(1+other.task.Cost)
}

// bestMove returns the best move now and its source; the source is nil if there is no move.
func (p *planner) bestMove() (*Machine, candidateMove) {
	var from *Machine
	var best candidateMove
	compared := 0
	for _, m := range slices.Backward(p.byShare) {
		if m.share <= p.hotShare || compared == maxSources {
			break
		}
		c := p.bestMoveFrom(m)
		if c.task != nil {
			compared++
		}
		if c.betterThan(best) {
			from, best = m, c
		}
	}
	return from, best
}

// bestMoveFrom returns the best move of a task off a machine.
func (p *planner) bestMoveFrom(from *Machine) candidateMove {
	var best candidateMove
	for i := range from.Tasks {
		t := &from.Tasks[i]
		if p.jobsWithoutDestination[t.Job] || !p.allowance.allows(t) {
			continue
		}
		c := p.bestDestination(from, t)
		if c.task == nil {
			p.jobsWithoutDestination[t.Job] = true // moving the job's other tasks off less loaded machines would gain less
		}
		if c.betterThan(best) {
			best = c
		}
	}
	return best
}

// bestDestination returns the best move of a task off a machine: the one to the least loaded machine that
// fits, since the imbalance is convex.
func (p *planner) bestDestination(from *Machine, t *Task) candidateMove {
	tried := 0
	for _, to := range p.candidates(t) {
		if tried == maxDestinations || to.share >= from.share {
			break
		}
		if to == from {
			continue
		}
		tried++
		if !p.isWorthwhile(from, to, t) || !p.Fits(t, to) {
			continue
		}
		return candidateMove{t, to, gain(from, to, t)}
	}
	return candidateMove{}
}

// candidates returns the machines whose images permit the task, the least loaded first.
func (p *planner) candidates(t *Task) []*Machine {
	if t.OnlyImage == "" {
		return p.byShare
	}
	machines, known := p.byImage[t.OnlyImage]
	if !known {
		for _, m := range p.byShare {
			if p.HasImage(m, t.OnlyImage) {
				machines = append(machines, m)
			}
		}
		p.byImage[t.OnlyImage] = machines
	}
	return machines
}

// isWorthwhile reports whether a move lowers the larger of the two shares by at least LeastGain. The
// destination may become hot only if its share does not exceed the one that the source is left with. Ruling
// out hot destinations altogether would pin tasks whose image only hot machines have; the destination can
// move other tasks away instead.
func (p *planner) isWorthwhile(from, to *Machine, t *Task) bool {
	sourceShare := Share(from.Used.Add(t.Resources, -1), from.Cap)
	destinationShare := Share(to.Used.Add(t.Resources, 1), to.Cap)
	return destinationShare <= max(p.hotShare, sourceShare) && from.share-max(sourceShare, destinationShare) >= p.settings.LeastGain
}

// gain returns by how much a move lowers the imbalance.
func gain(from, to *Machine, t *Task) float64 {
	square := func(m *Machine, change float64) float64 {
		share := Share(m.Used.Add(t.Resources, change), m.Cap)
		return m.Size * share * share
	}
	return square(from, 0) + square(to, 0) - square(from, -1) - square(to, 1)
}

// applyMove adds a move to the plan and updates both machines as if it were made.
func (p *planner) applyMove(from *Machine, c candidateMove) {
	t := *c.task
	p.moves = append(p.moves, Move{Task: t, From: from.ID, To: c.to.ID, Gain: c.gain})
	p.allowance.record(&t)
	from.Tasks = slices.DeleteFunc(slices.Clone(from.Tasks), func(o Task) bool { return o.TaskID == t.TaskID })
	p.setUsed(from, from.Used.Add(t.Resources, -1))
	p.setUsed(c.to, c.to.Used.Add(t.Resources, 1))
}

// setUsed sets the used resources of a machine and keeps every list sorted.
func (p *planner) setUsed(m *Machine, used scheduler.Resources) {
	p.byShare = removeSorted(p.byShare, m)
	var images []string
	for image, list := range p.byImage {
		if shorter := removeSorted(list, m); len(shorter) < len(list) {
			p.byImage[image] = shorter
			images = append(images, image)
		}
	}
	m.Used = used
	m.share = m.Share()
	p.byShare = insertSorted(p.byShare, m)
	for _, image := range images {
		p.byImage[image] = insertSorted(p.byImage[image], m)
	}
}

// removeSorted removes a machine from a sorted list if it is in there.
func removeSorted(list []*Machine, m *Machine) []*Machine {
	at, found := slices.BinarySearchFunc(list, m, compareShares)
	if !found {
		return list
	}
	return slices.Delete(list, at, at+1)
}

// insertSorted inserts a machine into a sorted list.
func insertSorted(list []*Machine, m *Machine) []*Machine {
	at, _ := slices.BinarySearchFunc(list, m, compareShares)
	return slices.Insert(list, at, m)
}
