package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pumicefront/scheduler"
)

// randomFleet draws machines of 16 cores with tasks of the given sizes, up to the given load. Every task may
// run on every machine where it fits.
func randomFleet(rng *rand.Rand, machines int, load float64, sizes ...float64) FleetSnapshot {
	fleet := FleetSnapshot{Fits: fitsByRoom, HasImage: func(*Machine, string) bool { return true }}
	capacity := scheduler.Resources{CPUs: 16, MemoryGB: 64}
	for i := range machines {
		m := Machine{ID: fmt.Sprintf("m%04d", i), Size: 16, Cap: capacity}
		for task := 0; ; task++ {
			each := scheduler.Resources{CPUs: sizes[rng.IntN(len(sizes))], MemoryGB: 1}
			if m.Used.CPUs+each.CPUs > 16*math.Min(1, 2*load*rng.Float64()) {
				break
			}
			m.Used = m.Used.Add(each, 1)
			m.Tasks = append(m.Tasks, Task{TaskID: TaskID{fmt.Sprintf("job-%d-%d", i, task), 0}, Team: fmt.Sprint("team", task%2), Resources: each})
		}
		fleet.Machines = append(fleet.Machines, m)
	}
	return fleet
}

func fitsByRoom(t *Task, m *Machine) bool { return m.Cap.Add(m.Used, -1).Fits(t.Resources) > 0 }

func allowanceOf(moves int) *Allowance {
	return &Allowance{Moves: moves, MaxPerTeam: moves, Teams: map[string]int{}, Jobs: map[string]bool{}}
}

// imbalance computes the figure that Plan minimizes: the sum of size times share squared.
func imbalance(machines []Machine) float64 {
	sum := 0.0
	for i := range machines {
		sum += machines[i].Size * machines[i].Share() * machines[i].Share()
	}
	return sum
}

// leastImbalance returns the least imbalance that any sequence of the given number of worthwhile moves leads to.
func leastImbalance(p *planner, moves int) float64 {
	least := imbalance(p.Machines)
	if moves == 0 {
		return least
	}
	for i := range p.Machines {
		from := &p.Machines[i]
		from.share = from.Share()
		if from.share <= p.hotShare {
			continue
		}
		for k := range from.Tasks {
			t := from.Tasks[k]
			for j := range p.Machines {
				to := &p.Machines[j]
				if t.Job == "" || to == from || !p.isWorthwhile(from, to, &t) || !p.Fits(&t, to) {
					continue
				}
				fromUsed, toUsed := from.Used, to.Used
				from.Used, to.Used, from.Tasks[k].Job = from.Used.Add(t.Resources, -1), to.Used.Add(t.Resources, 1), ""
				least = math.Min(least, leastImbalance(p, moves-1))
				from.Used, to.Used, from.Tasks[k].Job = fromUsed, toUsed, t.Job
				from.share = from.Share()
			}
		}
	}
	return least
}

// On small fleets the greedy plan lowers the imbalance nearly as much as the best of all plans, found by
// exhaustive search. If it did not, it should be replaced.
func TestGreedyPlanAgainstExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 7))
	greedy, optimal, worstShare, draws := 0.0, 0.0, 1.0, 0
	for range 120 {
		fleet := randomFleet(rng, 4, 0.6, 2, 4, 6)
		s := DefaultSettings()
		before := imbalance(fleet.Machines)
		all := planner{FleetSnapshot: fleet, settings: s, hotShare: s.HotShare(NewDistribution(fleet.Machines).Mean)}
		least := leastImbalance(&all, 3)
		if before-least < 1e-9 {
			continue
		}
		Plan(fleet, s, allowanceOf(3))
		got := before - imbalance(fleet.Machines)
		draws++
		greedy, optimal = greedy+got, optimal+before-least
		worstShare = math.Min(worstShare, got/(before-least))
	}
	t.Logf("the greedy plan lowers the imbalance by %.1f%% of what the best plan does in %d draws, by %.1f%% in the worst", 100*greedy/optimal, draws, 100*worstShare)
	if draws < 50 || greedy < 0.95*optimal {
		t.Errorf("%.1f%% of the best plan in %d draws", 100*greedy/optimal, draws)
	}
}

// Every plan stays within its allowance, never overcommits a machine and lowers the imbalance with each move.
// On a fleet that does not change, repeated planning ends.
func TestPlansEndAndKeepToTheirBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 7))
	moved := 0
	for range 100 {
		fleet := randomFleet(rng, 5+rng.IntN(30), 0.3+0.6*rng.Float64(), 1, 2, 4, 8)
		s := DefaultSettings()
		rounds := 0
		for ; rounds < 1000; rounds++ {
			before, allowed := imbalance(fleet.Machines), &Allowance{Moves: 4, MaxPerTeam: 2, Teams: map[string]int{}, Jobs: map[string]bool{}}
			moves := Plan(fleet, s, allowed)
			if len(moves) == 0 {
				break
			}
			moved += len(moves)
			teams, gains := map[string]int{}, 0.0
			for _, m := range moves {
				teams[m.Team]++
				gains += m.Gain
				if m.Gain <= 0 || m.From == m.To || teams[m.Team] > 2 || len(moves) > 4 {
					t.Fatalf("moves violate a limit or gain nothing: %+v", moves)
				}
				addToDestination(&fleet, m)
			}
			if after := imbalance(fleet.Machines); math.Abs(before-after-gains) > 1e-6 {
				t.Fatalf("the imbalance goes from %v to %v with gains of %v", before, after, gains)
			}
			for i := range fleet.Machines {
				if fleet.Machines[i].Share() > 1+1e-9 {
					t.Fatalf("%s is overcommitted", fleet.Machines[i].ID)
				}
			}
		}
		if rounds == 1000 {
			t.Fatal("still planning moves after 1000 rounds")
		}
	}
	if moved < 100 {
		t.Errorf("only %d moves, want at least 100", moved)
	}
}

// addToDestination lists a moved task at its destination.
func addToDestination(fleet *FleetSnapshot, m Move) {
	for i := range fleet.Machines {
		if fleet.Machines[i].ID == m.To {
			fleet.Machines[i].Tasks = append(fleet.Machines[i].Tasks, m.Task)
		}
	}
}

// No move is planned where none helps: for tasks that fill their machine, tasks whose image only hot machines
// have, and tasks that fit nowhere else.
func TestNoPlanWhereNothingHelps(t *testing.T) {
	capacity := scheduler.Resources{CPUs: 16}
	full := func(each float64, image string) []Machine {
		var machines []Machine
		for i := range 4 {
			m := Machine{ID: fmt.Sprint(i), Size: 16, Cap: capacity}
			for n := 0; i < 2 && float64(n)*each < 16; n++ {
				m.Used = m.Used.Add(scheduler.Resources{CPUs: each}, 1)
				m.Tasks = append(m.Tasks, Task{TaskID: TaskID{fmt.Sprint(i, n), 0}, Resources: scheduler.Resources{CPUs: each}, OnlyImage: image})
			}
			machines = append(machines, m)
		}
		return machines
	}
	onHot := func(m *Machine, _ string) bool { return m.ID < "2" }
	for name, fleet := range map[string]FleetSnapshot{
		"tasks that fill their machine": {Machines: full(16, ""), Fits: fitsByRoom},
		"image only on hot machines":    {Machines: full(4, "image"), Fits: fitsByRoom, HasImage: onHot},
		"no other machine fits":         {Machines: full(4, ""), Fits: func(*Task, *Machine) bool { return false }},
	} {
		if moves := Plan(fleet, DefaultSettings(), allowanceOf(9)); len(moves) > 0 {
			t.Errorf("%s: planned %+v", name, moves)
		}
		if stay := WithoutDestination(fleet, DefaultSettings()); stay["0"] != len(fleet.Machines[0].Tasks) || len(stay) != 2 {
			t.Errorf("%s: tasks without a destination by machine: %v", name, stay)
		}
	}
	improvable := FleetSnapshot{Machines: full(4, ""), Fits: fitsByRoom}
	if stay := WithoutDestination(improvable, DefaultSettings()); len(stay) > 0 {
		t.Errorf("tasks that can move are counted as without a destination: %v", stay)
	}
	if moves := Plan(improvable, DefaultSettings(), allowanceOf(9)); len(moves) == 0 {
		t.Error("no move is planned where moves help")
	}
}

// At most one task of a job is moved at a time, even if the allowance permits more moves.
func TestOneTaskOfAJobAtATime(t *testing.T) {
	m := Machine{ID: "a", Size: 16, Cap: scheduler.Resources{CPUs: 16}, Used: scheduler.Resources{CPUs: 16}}
	for i := range 8 {
		m.Tasks = append(m.Tasks, Task{TaskID: TaskID{"job", i}, Resources: scheduler.Resources{CPUs: 2}})
	}
	empty := Machine{ID: "b", Size: 16, Cap: m.Cap}
	if moves := Plan(FleetSnapshot{Machines: []Machine{m, empty}, Fits: fitsByRoom}, DefaultSettings(), allowanceOf(9)); len(moves) != 1 {
		t.Errorf("planned %+v, want one move", moves)
	}
}

// A destination may become hot only if the source stays at least as loaded: a large task stays if its move
// would only make the other machine the hot one.
func TestNoMoveThatOnlyShiftsTheHotSpot(t *testing.T) {
	capacity := scheduler.Resources{CPUs: 16}
	large := Task{TaskID: TaskID{"job", 0}, Resources: scheduler.Resources{CPUs: 8}}
	from := Machine{ID: "a", Size: 16, Cap: capacity, Used: capacity, Tasks: []Task{large}}
	to := Machine{ID: "b", Size: 16, Cap: capacity, Used: scheduler.Resources{CPUs: 6}}
	if moves := Plan(FleetSnapshot{Machines: []Machine{from, to}, Fits: fitsByRoom}, DefaultSettings(), allowanceOf(9)); len(moves) > 0 {
		t.Errorf("planned %+v, want no move", moves)
	}
	to.Used.CPUs = 2
	if moves := Plan(FleetSnapshot{Machines: []Machine{from, to}, Fits: fitsByRoom}, DefaultSettings(), allowanceOf(9)); len(moves) != 1 {
		t.Errorf("planned %+v where the destination stays below the hot share, want one move", moves)
	}
}
