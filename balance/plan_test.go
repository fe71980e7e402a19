package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pumicefront/scheduler"
)

// fleet draws machines of 16 cores with tasks of some sizes, of which any may go anywhere it fits, up to
// the given load.
func fleet(rng *rand.Rand, machines int, load float64, sizes ...float64) Picture {
	p := Picture{Fits: fitsByRoom, HasImage: func(*Machine, string) bool { return true }}
	capacity := scheduler.Resources{CPUs: 16, MemoryGB: 64}
	for i := range machines {
		m := Machine{ID: fmt.Sprintf("m%04d", i), Size: 16, Cap: capacity}
		for task := 0; ; task++ {
			each := scheduler.Resources{CPUs: sizes[rng.IntN(len(sizes))], MemoryGB: 1}
			if m.Used.CPUs+each.CPUs > 16*math.Min(1, 2*load*rng.Float64()) {
				break
			}
			m.Used = m.Used.Add(each, 1)
			m.Tasks = append(m.Tasks, Task{TaskID: TaskID{fmt.Sprintf("job-%d-%d", i, task), 0}, Team: fmt.Sprint("team", task%2), Each: each})
		}
		p.Machines = append(p.Machines, m)
	}
	return p
}

func fitsByRoom(t *Task, m *Machine) bool { return m.Cap.Add(m.Used, -1).Fits(t.Each) > 0 }

func unbounded(moves int) *Allowance {
	return &Allowance{Moves: moves, InTeam: moves, Teams: map[string]int{}, Jobs: map[string]bool{}}
}

// measure is what a plan lowers.
func measure(machines []Machine) float64 {
	sum := 0.0
	for i := range machines {
		sum += machines[i].Size * machines[i].Share() * machines[i].Share()
	}
	return sum
}

// exact is the least measure that any sequence of so many moves, each worth it, leads to.
func exact(p *planner, moves int) float64 {
	least := measure(p.Machines)
	if moves == 0 {
		return least
	}
	for i := range p.Machines {
		from := &p.Machines[i]
		from.share = from.Share()
		if from.share <= p.hot {
			continue
		}
		for k := range from.Tasks {
			t := from.Tasks[k]
			for j := range p.Machines {
				to := &p.Machines[j]
				if t.Job == "" || to == from || !p.worth(from, to, &t) || !p.Fits(&t, to) {
					continue
				}
				fromUsed, toUsed := from.Used, to.Used
				from.Used, to.Used, from.Tasks[k].Job = from.Used.Add(t.Each, -1), to.Used.Add(t.Each, 1), ""
				least = math.Min(least, exact(p, moves-1))
				from.Used, to.Used, from.Tasks[k].Job = fromUsed, toUsed, t.Job
				from.share = from.Share()
			}
		}
	}
	return least
}

// The greedy plan lowers the measure nearly as much as the best of all plans does on small fleets. If it
// did not, it should be replaced.
func TestGreedyPlanAgainstExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 7))
	greedy, best, worst, draws := 0.0, 0.0, 1.0, 0
	for range 120 {
		p := fleet(rng, 4, 0.6, 2, 4, 6)
		s := DefaultSettings()
		before := measure(p.Machines)
		all := planner{Picture: p, settings: s, hot: s.HotShare(Distribute(p.Machines).Mean)}
		least := exact(&all, 3)
		if before-least < 1e-9 {
			continue
		}
		Plan(p, s, unbounded(3))
		got := before - measure(p.Machines)
		draws++
		greedy, best = greedy+got, best+before-least
		worst = math.Min(worst, got/(before-least))
	}
	t.Logf("the greedy plan lowers the measure by %.1f%% of what the best plan does in %d draws, by %.1f%% in the worst", 100*greedy/best, draws, 100*worst)
	if draws < 50 || greedy < 0.95*best {
		t.Errorf("%.1f%% of the best in %d draws", 100*greedy/best, draws)
	}
}

// Each plan keeps to its bounds, never overfills a machine, lowers the measure with each move, and on a
// fleet that doesn't change plans come to an end.
func TestPlansEndAndKeepToTheirBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 7))
	moved := 0
	for range 100 {
		p := fleet(rng, 5+rng.IntN(30), 0.3+0.6*rng.Float64(), 1, 2, 4, 8)
		s := DefaultSettings()
		rounds := 0
		for ; rounds < 1000; rounds++ {
			before, allowed := measure(p.Machines), &Allowance{Moves: 4, InTeam: 2, Teams: map[string]int{}, Jobs: map[string]bool{}}
			moves := Plan(p, s, allowed)
			if len(moves) == 0 {
				break
			}
			moved += len(moves)
			teams, gains := map[string]int{}, 0.0
			for _, m := range moves {
				teams[m.Team]++
				gains += m.Gain
				if m.Gain <= 0 || m.From == m.To || teams[m.Team] > 2 || len(moves) > 4 {
					t.Fatalf("%+v", moves)
				}
				arrive(&p, m)
			}
			if after := measure(p.Machines); math.Abs(before-after-gains) > 1e-6 {
				t.Fatalf("the measure goes from %v to %v with gains of %v", before, after, gains)
			}
			for i := range p.Machines {
				if p.Machines[i].Share() > 1+1e-9 {
					t.Fatalf("%s is overfull", p.Machines[i].ID)
				}
			}
		}
		if rounds == 1000 {
			t.Fatal("plans don't end")
		}
	}
	if moved < 100 {
		t.Errorf("only %d moves", moved)
	}
}

// arrive has a moved task listed at its destination.
func arrive(p *Picture, m Move) {
	for i := range p.Machines {
		if p.Machines[i].ID == m.To {
			p.Machines[i].Tasks = append(p.Machines[i].Tasks, m.Task)
		}
	}
}

// What can't be mended makes no plan: tasks that fill their machine, and those whose image only hot machines have.
func TestNoPlanWhereNothingHelps(t *testing.T) {
	capacity := scheduler.Resources{CPUs: 16}
	full := func(each float64, image string) []Machine {
		var machines []Machine
		for i := range 4 {
			m := Machine{ID: fmt.Sprint(i), Size: 16, Cap: capacity}
			for n := 0; i < 2 && float64(n)*each < 16; n++ {
				m.Used = m.Used.Add(scheduler.Resources{CPUs: each}, 1)
				m.Tasks = append(m.Tasks, Task{TaskID: TaskID{fmt.Sprint(i, n), 0}, Each: scheduler.Resources{CPUs: each}, OnlyImage: image})
			}
			machines = append(machines, m)
		}
		return machines
	}
	onHot := func(m *Machine, _ string) bool { return m.ID < "2" }
	for name, p := range map[string]Picture{
		"tasks that fill a machine": {Machines: full(16, ""), Fits: fitsByRoom},
		"images on hot machines":    {Machines: full(4, "image"), Fits: fitsByRoom, HasImage: onHot},
		"no machine that fits":      {Machines: full(4, ""), Fits: func(*Task, *Machine) bool { return false }},
	} {
		if moves := Plan(p, DefaultSettings(), unbounded(9)); len(moves) > 0 {
			t.Errorf("%s: %+v", name, moves)
		}
		if stay := WithoutDestination(p, DefaultSettings()); stay["0"] != len(p.Machines[0].Tasks) || len(stay) != 2 {
			t.Errorf("%s: without a destination %v", name, stay)
		}
	}
	mendable := Picture{Machines: full(4, ""), Fits: fitsByRoom}
	if stay := WithoutDestination(mendable, DefaultSettings()); len(stay) > 0 {
		t.Errorf("without a destination %v", stay)
	}
	if moves := Plan(mendable, DefaultSettings(), unbounded(9)); len(moves) == 0 {
		t.Error("nothing is moved where it helps")
	}
}

// A service gives one replica at a time, whatever is allowed.
func TestOneTaskOfAJobAtATime(t *testing.T) {
	m := Machine{ID: "a", Size: 16, Cap: scheduler.Resources{CPUs: 16}, Used: scheduler.Resources{CPUs: 16}}
	for i := range 8 {
		m.Tasks = append(m.Tasks, Task{TaskID: TaskID{"job", i}, Each: scheduler.Resources{CPUs: 2}})
	}
	empty := Machine{ID: "b", Size: 16, Cap: m.Cap}
	if moves := Plan(Picture{Machines: []Machine{m, empty}, Fits: fitsByRoom}, DefaultSettings(), unbounded(9)); len(moves) != 1 {
		t.Errorf("%+v", moves)
	}
}

// A destination may become hot only if its source stays as hot at least: a large task that would only
// change places stays.
func TestLargeTasksDontChangePlaces(t *testing.T) {
	capacity := scheduler.Resources{CPUs: 16}
	large := Task{TaskID: TaskID{"job", 0}, Each: scheduler.Resources{CPUs: 8}}
	from := Machine{ID: "a", Size: 16, Cap: capacity, Used: capacity, Tasks: []Task{large}}
	to := Machine{ID: "b", Size: 16, Cap: capacity, Used: scheduler.Resources{CPUs: 6}}
	if moves := Plan(Picture{Machines: []Machine{from, to}, Fits: fitsByRoom}, DefaultSettings(), unbounded(9)); len(moves) > 0 {
		t.Errorf("%+v", moves)
	}
	to.Used.CPUs = 2
	if moves := Plan(Picture{Machines: []Machine{from, to}, Fits: fitsByRoom}, DefaultSettings(), unbounded(9)); len(moves) != 1 {
		t.Errorf("%+v where the destination stays cool", moves)
	}
}
