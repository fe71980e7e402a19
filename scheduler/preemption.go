package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// PreemptionTerms are the properties that decide on the preemption of a job's tasks.
type PreemptionTerms struct {
	Job, Team     string
	Rank          int  // index of the job's priority; 0 is the highest
	Borrowed      bool // runs beyond its team's guarantee
	TaskResources Resources
	MemoryCores   float64 // cores that the memory of a task counts as, see Measure
	CheckpointS   float64 // seconds between checkpoints; 0: none
}

// GuaranteeUse returns what a task uses of its team's guarantee. Memory is never guaranteed, but a task that takes more of
// a machine's memory than of its cores uses as many cores as its memory counts as: others can't use these.
func (t *PreemptionTerms) GuaranteeUse() Resources {
	use := t.TaskResources
	use.CPUs = max(use.CPUs, t.MemoryCores)
	return use
}

// Victim is a task that could be preempted.
type Victim struct {
	*PreemptionTerms
	Task        int
	Since       time.Time // when it started to run; zero if it is not running
	PlacedByAge bool      // placed because its job had aged: only a higher priority may preempt it
}

// lostWork returns how many seconds of work stopping the task now would lose.
func (v *Victim) lostWork(now time.Time) float64 {
	if v.Since.IsZero() {
		return 0
	}
	seconds := now.Sub(v.Since).Seconds()
	if v.CheckpointS > 0 {
		seconds = math.Min(seconds, v.CheckpointS)
	}
	return seconds
}

// preemptionCost is the loss on a machine, as chooseVictims counts it, that makes room for one more task.
type preemptionCost struct {
	machine *Machine
	loss    float64
}

// Excess holds what each team's running tasks use beyond the team's guarantee. No more than
// that may be stopped to give other teams their guarantees.
type Excess map[string]Resources

// covers reports whether the task's team would still have its guarantee, in each resource that
// the task uses, after the task and the tasks chosen so far are stopped.
func (e Excess) covers(chosen []Victim, t *PreemptionTerms) bool {
	remaining := e[t.Team]
	remaining.MemoryGB, remaining.Slots = math.Inf(1), math.Inf(1) // never guaranteed
	for _, v := range chosen {
		if v.Team == t.Team {
			remaining = remaining.Add(v.GuaranteeUse(), -1)
		}
	}
	return remaining.Fits(t.GuaranteeUse()) > 0
}

// Add adds a running task to its team's excess.
func (e Excess) Add(t *PreemptionTerms) { e[t.Team] = e[t.Team].Add(t.GuaranteeUse(), 1) }

// remove subtracts a stopped task from its team's excess.
func (e Excess) remove(t *PreemptionTerms) { e[t.Team] = e[t.Team].Add(t.GuaranteeUse(), -1) }

// Preempt picks tasks to stop so that up to missing tasks of d fit. It returns these victims
// and how many tasks of d get room, be it through them or through resources that stopping
// tasks already release. The victims are subtracted from the excess.
func Preempt(machines []*Machine, d *Demand, missing int, excess Excess, now time.Time) (victims []Victim, room int) {
	var costs []preemptionCost
	consider := func(m *Machine) {
		if vs, loss := chooseVictims(m, d, m.Free.Add(m.Releasing, 1), excess, now); vs != nil {
			costs = append(costs, preemptionCost{m, loss})
		}
	}
	inZone := maps.Clone(d.InZone)
	defer func() { d.InZone = inZone }() // restored, since none of these tasks is placed yet
	for _, m := range machines {
		if m.Virtual || !d.accepts(m) || d.ownRoomOn(m) == 0 {
			continue
		}
		// Resources that stopping tasks will release are set aside for these tasks first.
		for room < missing && d.zoneRoom(m.Zone) > 0 && m.Free.Add(m.Releasing, 1).Fits(d.TaskResources) > 0 {
			m.Releasing = m.Releasing.Add(d.TaskResources, -1)
			d.InZone[m.Zone]++
			room++
		}
		consider(m)
	}
	for room < missing {
		best := -1
		for i, cost := range costs {
			if d.zoneRoom(cost.machine.Zone) > 0 && (best < 0 || cost.loss < costs[best].loss) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		cheapest := costs[best]
		costs = slices.Delete(costs, best, best+1)
		// Victims chosen on other machines since this cost was computed may have used up a team's excess.
		vs, loss := chooseVictims(cheapest.machine, d, cheapest.machine.Free.Add(cheapest.machine.Releasing, 1), excess, now)
		if loss > cheapest.loss {
			costs = append(costs, preemptionCost{cheapest.machine, loss})
		}
		if vs == nil || loss > cheapest.loss {
			continue
		}
		recordEvictions(cheapest.machine, vs, d)
		for _, v := range vs {
			excess.remove(v.PreemptionTerms)
		}
		d.InZone[cheapest.machine.Zone]++
		victims = append(victims, vs...)
		room++
		consider(cheapest.machine)
	}
	return victims, room
}

// chooseVictims returns the tasks to stop on a machine so that one task of d fits, and the loss: the
// seconds of work lost plus one for each victim. It returns nil if that can't be done. d may
// stop tasks of lower priority and, if it is within its team's guarantee, borrowed tasks of other teams
// that were not placed by age. Of these, the tasks of the lowest priority come first, then those that
// lose the least work.
func chooseVictims(m *Machine, d *Demand, free Resources, excess Excess, now time.Time) ([]Victim, float64) {
	var vs []Victim
	for _, v := range m.Tasks {
		if v.Rank > d.Rank || d.WithinGuarantee && v.Borrowed && !v.PlacedByAge && v.Team != d.Team {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.lostWork(now), b.lostWork(now)), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	var chosen []Victim
	loss := 0.0
	for _, v := range vs {
		if v.Rank <= d.Rank && !excess.covers(chosen, v.PreemptionTerms) {
			continue
		}
		chosen = append(chosen, v)
		loss += v.lostWork(now) + 1
		if free = free.Add(v.TaskResources, 1); free.Fits(d.TaskResources) > 0 {
			return chosen, loss
		}
	}
	return nil, 0
}

// recordEvictions removes the victims from the machine's tasks and adds their resources to those that are being
// released, less one task of d.
func recordEvictions(m *Machine, victims []Victim, d *Demand) {
	remaining := make([]Victim, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		if !slices.Contains(victims, t) {
			remaining = append(remaining, t)
		}
	}
	m.Tasks = remaining // a new slice: the old one belongs to the leader
	for _, v := range victims {
		m.Releasing = m.Releasing.Add(v.TaskResources, 1)
	}
	m.Releasing = m.Releasing.Add(d.TaskResources, -1)
}
