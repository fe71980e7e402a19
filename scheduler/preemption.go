package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Terms are what a job's tasks have in common when something must give way.
type Terms struct {
	Job, Team   string
	Rank        int  // index of its priority, 0 is the highest
	Borrowed    bool // beyond its team's guarantee
	Each        Resources
	CheckpointS float64
}

// Victim is a task that could be preempted.
type Victim struct {
	*Terms
	Task        int
	Since       time.Time // running since; zero: not running
	PlacedByAge bool      // came after waiting its turn: gives way to higher priority alone
}

// lost is the work, in seconds, that stopping the task now loses.
func (v *Victim) lost(now time.Time) float64 {
	if v.Since.IsZero() {
		return 0
	}
	s := now.Sub(v.Since).Seconds()
	if v.CheckpointS > 0 {
		s = math.Min(s, v.CheckpointS)
	}
	return s
}

// preemption is what a machine would lose by taking one more task.
type preemption struct {
	m    *Machine
	loss float64
}

// Excess is what each team's running tasks use beyond its guarantee: no more than that
// may be stopped to give others theirs.
type Excess map[string]Resources

// covers reports whether a team would still have its guarantee, in each resource that
// the task takes, once it is stopped and the chosen ones with it.
func (e Excess) covers(chosen []Victim, t *Terms) bool {
	left := e[t.Team]
	left.MemoryGB = math.Inf(1) // nobody is guaranteed memory
	for _, v := range chosen {
		if v.Team == t.Team {
			left = left.Add(v.Each, -1)
		}
	}
	return left.Fits(t.Each) > 0
}

// Use counts a running task.
func (e Excess) Use(t *Terms) { e[t.Team] = e[t.Team].Add(t.Each, 1) }

// spend takes a stopped task off.
func (e Excess) spend(t *Terms) { e[t.Team] = e[t.Team].Add(t.Each, -1) }

// Preempt picks tasks to stop so that up to missing tasks of d fit, and counts
// those that get room: by it, or because it is becoming free already. What it stops
// is taken off the excess.
func Preempt(machines []*Machine, d *Demand, missing int, excess Excess, now time.Time) (victims []Victim, room int) {
	var yields []preemption
	consider := func(m *Machine) {
		if vs, loss := choose(m, d, m.Free.Add(m.Soon, 1), excess, now); vs != nil {
			yields = append(yields, preemption{m, loss})
		}
	}
	inZone := maps.Clone(d.InZone)
	defer func() { d.InZone = inZone }() // none of these is placed yet
	for _, m := range machines {
		if m.Virtual || !d.takes(m) {
			continue
		}
		// Room that is on its way is kept for these tasks.
		for room < missing && d.zoneRoom(m.Zone) > 0 && m.Free.Add(m.Soon, 1).Fits(d.Each) > 0 {
			m.Soon = m.Soon.Add(d.Each, -1)
			d.InZone[m.Zone]++
			room++
		}
		consider(m)
	}
	for room < missing {
		best := -1
		for i, y := range yields {
			if d.zoneRoom(y.m.Zone) > 0 && (best < 0 || y.loss < yields[best].loss) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		y := yields[best]
		yields = slices.Delete(yields, best, best+1)
		// What was stopped elsewhere since may have used up a team's excess.
		vs, loss := choose(y.m, d, y.m.Free.Add(y.m.Soon, 1), excess, now)
		if loss > y.loss {
			yields = append(yields, preemption{y.m, loss})
		}
		if vs == nil || loss > y.loss {
			continue
		}
		take(y.m, vs, d)
		for _, v := range vs {
			excess.spend(v.Terms)
		}
		d.InZone[y.m.Zone]++
		victims = append(victims, vs...)
		room++
		consider(y.m)
	}
	return victims, room
}

// choose picks what a machine stops first: of those that d may stop, the lowest
// priority, then the least work lost.
func choose(m *Machine, d *Demand, free Resources, excess Excess, now time.Time) ([]Victim, float64) {
	var vs []Victim
	for _, v := range m.Tasks {
		if v.Rank > d.Rank || d.WithinGuarantee && v.Borrowed && !v.PlacedByAge && v.Team != d.Team {
			vs = append(vs, v)
		}
	}
	slices.SortFunc(vs, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.lost(now), b.lost(now)), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	var chosen []Victim
	loss := 0.0
	for _, v := range vs {
		if v.Rank <= d.Rank && !excess.covers(chosen, v.Terms) {
			continue
		}
		chosen = append(chosen, v)
		loss += v.lost(now) + 1
		if free = free.Add(v.Each, 1); free.Fits(d.Each) > 0 {
			return chosen, loss
		}
	}
	return nil, 0
}

// take moves the victims' room to what is soon free, less what d will use.
func take(m *Machine, victims []Victim, d *Demand) {
	left := make([]Victim, 0, len(m.Tasks))
	for _, t := range m.Tasks {
		if !slices.Contains(victims, t) {
			left = append(left, t)
		}
	}
	m.Tasks = left // a new list: the old one is the leader's
	for _, v := range victims {
		m.Soon = m.Soon.Add(v.Each, 1)
	}
	m.Soon = m.Soon.Add(d.Each, -1)
}
