package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func machines(n int, zone string, cpus float64) []*Machine {
	var ms []*Machine
	for i := range n {
		c := Resources{CPUs: cpus, MemoryGB: 64}
		ms = append(ms, &Machine{ID: fmt.Sprintf("%s%d", zone, i), Type: "t", Zone: zone, Shard: fmt.Sprint(i % 2),
			Cap: c, Free: c, Images: map[string]bool{}})
	}
	return ms
}

func demand(tasks int, cpus float64) *Demand {
	return &Demand{Job: "j", Tasks: make([]int, tasks), Total: tasks, RoomInTeam: tasks,
		TaskResources: Resources{CPUs: cpus, MemoryGB: 1}, Image: "img", InZone: map[string]int{}}
}

// Placements on random machines respect free resources, zones, spot machines, cached images and
// the team's limit.
func TestPlaceKeepsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ms []*Machine
		for i := range rapid.IntRange(1, 8).Draw(t, "machines") {
			c := Resources{CPUs: float64(rapid.IntRange(1, 16).Draw(t, "cpus")), MemoryGB: 64}
			ms = append(ms, &Machine{ID: fmt.Sprint(i), Type: rapid.SampledFrom([]string{"s", "b"}).Draw(t, "type"),
				Zone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
				Shard: fmt.Sprint(i % 3), Cap: c, Free: c, Images: map[string]bool{"img": rapid.Bool().Draw(t, "cached")}})
		}
		d := demand(rapid.IntRange(1, 12).Draw(t, "tasks"), float64(rapid.IntRange(1, 4).Draw(t, "each")))
		d.RoomInTeam = rapid.IntRange(0, 12).Draw(t, "room")
		d.Spread, d.Spot, d.Gang = rapid.Bool().Draw(t, "spread"), rapid.Bool().Draw(t, "spot allowed"), rapid.Bool().Draw(t, "gang")
		d.OneZone = !d.Spread && rapid.Bool().Draw(t, "one zone")
		d.SpreadImages, d.CachedOnly = rapid.Bool().Draw(t, "spread images"), rapid.Bool().Draw(t, "cached only")
		placed := Place(ms, d)
		if len(placed) > min(len(d.Tasks), d.RoomInTeam) || d.Gang && len(placed) > 0 && len(placed) < len(d.Tasks) {
			t.Fatalf("placed %d tasks: more than allowed, or only a part of a gang", len(placed))
		}
		zones, used := map[string]int{}, map[*Machine]float64{}
		for _, p := range placed {
			m := p.Machine
			zones[m.Zone]++
			used[m] += d.TaskResources.CPUs
			if m.Spot && !d.Spot || d.CachedOnly && !m.Images["img"] {
				t.Fatalf("placed on a machine that the demand excludes: %+v", m)
			}
		}
		for m, u := range used {
			if u > m.Cap.CPUs || m.Free.CPUs != m.Cap.CPUs-u {
				t.Fatalf("%v of %v cores used, %v free", u, m.Cap.CPUs, m.Free.CPUs)
			}
		}
		for _, n := range zones {
			if d.OneZone && len(zones) > 1 || d.Spread && n > (d.Total+1)/2 {
				t.Fatalf("tasks by zone %v of %d in all", zones, d.Total)
			}
		}
	})
}

func TestPlacePrefersTheShardWithItsImage(t *testing.T) {
	ms := machines(4, "x", 16)
	ms[3].Images["img"] = true
	ms[3].Free.CPUs = 4
	if p := Place(ms, demand(2, 2)); len(p) != 2 || p[0].Machine != ms[3] || p[1].Machine != ms[3] {
		t.Fatalf("%+v", p)
	}
}

func TestPlaceTooBigForAnyShardSpansAll(t *testing.T) {
	ms := machines(4, "x", 4)
	if p := Place(ms, demand(15, 1)); len(p) != 15 {
		t.Fatalf("placed %d of 15", len(p))
	}
}

// Two small tasks on one machine leave room for one more large task than the same two on two
// machines.
func TestSpreadPlacementKeepsRoomForOtherClasses(t *testing.T) {
	ms := machines(2, "x", 16)
	ms[0].Images["img"], ms[1].Images["img"] = true, true
	d := demand(2, 2)
	d.SpreadImages, d.OtherClasses = true, []Resources{{CPUs: 4}}
	if Place(ms, d); ms[0].Free.Fits(d.OtherClasses[0])+ms[1].Free.Fits(d.OtherClasses[0]) != 7 {
		t.Fatalf("free %v and %v", ms[0].Free, ms[1].Free)
	}
}

// An image that no machine has yet is spread over as many machines as there are tasks.
func TestPlacementSpreadsANewImage(t *testing.T) {
	ms := machines(2, "x", 16)
	d := demand(2, 2)
	d.SpreadImages, d.OtherClasses = true, []Resources{{CPUs: 4}}
	for _, m := range ms {
		m.Shard = "one"
	}
	if p := Place(ms, d); p[0].Machine == p[1].Machine {
		t.Fatal("both tasks are on one machine")
	}
}

// A job that other jobs wait for uses a non-spot machine, even if a spot machine has its image. Other
// jobs that tolerate spot machines use those and leave the non-spot machine free.
func TestPlaceKeepsChainsOffSpotMachines(t *testing.T) {
	for _, preferNonSpot := range []bool{false, true} {
		machines := []*Machine{
			{ID: "i-1", Type: "small", Spot: true, Cap: Resources{CPUs: 4}, Free: Resources{CPUs: 4}, Images: map[string]bool{"img": true}},
			{ID: "i-2", Type: "small", Cap: Resources{CPUs: 4}, Free: Resources{CPUs: 4}},
		}
		d := &Demand{Job: "j", Tasks: []int{0}, Total: 1, RoomInTeam: 1, TaskResources: Resources{CPUs: 1}, Image: "img", Spot: true,
			PreferNonSpot: preferNonSpot, InZone: map[string]int{}}
		placed := Place(machines, d)
		if len(placed) != 1 || placed[0].Machine.Spot == preferNonSpot {
			t.Errorf("keep off spot %v: placed %+v", preferNonSpot, placed)
		}
		d = &Demand{Job: "k", Tasks: []int{0, 1, 2, 3, 4, 5}, Total: 6, RoomInTeam: 6, TaskResources: Resources{CPUs: 1}, Image: "img", Spot: true,
			PreferNonSpot: preferNonSpot, InZone: map[string]int{}}
		if placed := Place(machines, d); len(placed) != 6 {
			t.Errorf("keep off spot %v: %d of 6 tasks placed", preferNonSpot, len(placed))
		}
	}
}

func TestOrder(t *testing.T) {
	names := []string{"service", "within", "small", "large", "late", "borrowed"}
	ds := []*Demand{
		{Job: "borrowed", Rank: 2}, {Job: "late", Rank: 2, WithinGuarantee: true, MissedObjectives: 1}, {Job: "large", Rank: 2, WithinGuarantee: true, WorkS: 9},
		{Job: "service", Rank: 2, Service: true, WithinGuarantee: true}, {Job: "small", Rank: 2, WithinGuarantee: true, WorkS: 5},
		{Job: "within", Rank: 1, WithinGuarantee: true, WorkS: 100},
	}
	Order(ds)
	for i, d := range ds {
		if d.Job != names[i] {
			t.Errorf("position %d: %s, want %s", i, d.Job, names[i])
		}
	}
}

// Preemption never brings a team below its guarantee, however many of its jobs run beyond it.
func TestPreemptLeavesTheGuarantee(t *testing.T) {
	for _, c := range []struct {
		excess float64
		want   int
	}{{0, 0}, {3, 0}, {4, 1}, {11, 2}, {100, 6}} {
		ms := machines(6, "x", 4)
		terms := &PreemptionTerms{Job: "j", Team: "blue", Rank: 2, Borrowed: true, TaskResources: Resources{CPUs: 4}}
		for i, m := range ms {
			m.Free = Resources{MemoryGB: m.Free.MemoryGB}
			m.Tasks = []Victim{{PreemptionTerms: terms, Task: i}}
		}
		d := demand(6, 4)
		d.Rank, d.Team, d.WithinGuarantee = 2, "red", true
		if vs, _ := Preempt(ms, d, 6, Excess{"blue": {CPUs: c.excess}}, time.Time{}); len(vs) != c.want {
			t.Errorf("%d tasks of 4 cores stopped with an excess of %v cores, want %d", len(vs), c.excess, c.want)
		}
	}
}

func TestPreempt(t *testing.T) {
	full := func(terms PreemptionTerms) []*Machine {
		ms := machines(1, "x", 4)
		ms[0].Free = Resources{}
		terms.TaskResources = Resources{CPUs: 4, MemoryGB: 4}
		ms[0].Tasks = []Victim{{PreemptionTerms: &terms}}
		return ms
	}
	d := demand(1, 2)
	d.Rank, d.Team = 2, "red"
	for name, c := range map[string]struct {
		victim PreemptionTerms
		within bool
		want   bool
	}{
		"lower priority":                        {PreemptionTerms{Rank: 3, Team: "red"}, false, true},
		"same priority":                         {PreemptionTerms{Rank: 2, Team: "blue"}, true, false},
		"borrowed, for a guarantee":             {PreemptionTerms{Rank: 2, Team: "blue", Borrowed: true}, true, true},
		"borrowed, for borrowed":                {PreemptionTerms{Rank: 2, Team: "blue", Borrowed: true}, false, false},
		"borrowed by the same team":             {PreemptionTerms{Rank: 2, Team: "red", Borrowed: true}, true, false},
		"higher priority, borrowed":             {PreemptionTerms{Rank: 0, Team: "blue", Borrowed: true}, true, true},
		"higher priority, within its guarantee": {PreemptionTerms{Rank: 0, Team: "blue"}, true, false},
	} {
		d.WithinGuarantee = c.within
		vs, room := Preempt(full(c.victim), d, 1, Excess{"blue": {CPUs: 4}, "red": {CPUs: 4}}, time.Time{})
		if room == 1 != c.want || len(vs) > 0 != c.want {
			t.Errorf("%s: victims %v, room for %d tasks", name, vs, room)
		}
	}
	// Resources that stopping tasks release are set aside for one task, and nothing more is stopped.
	ms := full(PreemptionTerms{Rank: 3})
	ms[0].Releasing = Resources{CPUs: 2, MemoryGB: 2}
	if vs, room := Preempt(ms, d, 1, nil, time.Time{}); vs != nil || room != 1 || ms[0].Releasing.CPUs != 0 {
		t.Errorf("stopped %v, room for %v, releasing %v", vs, room, ms[0].Releasing)
	}
}

func TestFleetRentsTheCheapestThatFits(t *testing.T) {
	offers := []Offer{
		{Type: "big", Cap: Resources{CPUs: 32, MemoryGB: 256}, Price: 2.67},
		{Type: "big", Spot: true, Cap: Resources{CPUs: 32, MemoryGB: 256}, Price: 0.92},
		{Type: "small", Cap: Resources{CPUs: 4, MemoryGB: 32}, Price: 0.36},
	}
	d := demand(1, 2)
	if requests := PlanRentals(nil, []*Demand{d}, offers, RentalLimits{Kinds: 5, Machines: 100}); len(requests) != 1 || requests[0].Offer.Type != "small" || requests[0].Count != 1 {
		t.Errorf("one small task: %+v", requests)
	}
	d = demand(5, 8)
	d.Spot = true
	if requests := PlanRentals(nil, []*Demand{d}, offers, RentalLimits{Kinds: 5, Machines: 100}); len(requests) != 1 || !requests[0].Offer.Spot || requests[0].Count != 2 {
		t.Errorf("five large tasks on spot: %+v", requests)
	}
	if requests := PlanRentals(machines(1, "x", 16), []*Demand{demand(4, 2)}, offers, RentalLimits{Kinds: 5, Machines: 100}); requests != nil {
		t.Errorf("rented %+v though there is room", requests)
	}
}

func TestShardsMoveOnlyTheStoppedControllersMachines(t *testing.T) {
	all, rest := []string{"n0", "n1", "n2"}, []string{"n0", "n2"}
	machinesOf := map[string]int{}
	for i := range 300 {
		id := fmt.Sprintf("i-%06d", i)
		before, after := ShardOf(id, all), ShardOf(id, rest)
		machinesOf[before]++
		if before != "n1" && before != after {
			t.Fatalf("%s moved from %s to %s", id, before, after)
		}
	}
	for _, n := range all {
		if machinesOf[n] < 60 {
			t.Errorf("%s has %d of 300 machines", n, machinesOf[n])
		}
	}
}

// simulateLoad runs 600 placement rounds on four machines with a steady arrival of small jobs
// next to the given large ones. It returns the round in which each large job first started and how
// many of its tasks were placed.
func simulateLoad(t *testing.T, large []*Demand) (startedAt map[string]int, served map[string]int) {
	t.Helper()
	ms := machines(4, "x", 16)
	startedAt, served = map[string]int{}, map[string]int{}
	type busy struct {
		m    *Machine
		each Resources
		ends int
		aged bool
	}
	var running []busy
	for round := range 600 {
		reserve := 8.0
		running = slices.DeleteFunc(running, func(b busy) bool {
			if b.ends <= round {
				b.m.Free = b.m.Free.Add(b.each, 1)
			} else if b.aged {
				reserve -= b.each.CPUs
			}
			return b.ends <= round
		})
		var ds []*Demand
		for i := range 8 {
			s := demand(6, 2)
			s.Job, s.Rank, s.WorkS, s.Class, s.Team = fmt.Sprintf("small%d-%d", round, i), 2, 1, "batch", []string{"red", "blue"}[i%2]
			ds = append(ds, s)
		}
		for _, l := range large {
			if len(l.Tasks) > 0 {
				d := *l
				d.AgeS, d.Started, d.InZone = float64(round), served[l.Job] > 0, map[string]int{}
				d.Aged = round > 80 && !d.Started || round > 120
				d.RoomInTeam = len(d.Tasks)
				ds = append(ds, &d)
			}
		}
		freeBefore := make([]Resources, len(ms))
		for i, m := range ms {
			freeBefore[i] = m.Free
		}
		for _, d := range OrderWithAging(ds, max(reserve, 0)) {
			ps := Place(ms, d)
			for _, p := range ps {
				running = append(running, busy{p.Machine, d.TaskResources, round + 7, d.AgeS > 120})
			}
			if d.Aged && len(ps) == 0 {
				ReserveFor(ms, d)
			}
			for _, l := range large {
				if l.Job == d.Job && len(ps) > 0 {
					if served[l.Job] == 0 {
						startedAt[l.Job] = round
					}
					served[l.Job] += len(ps)
					l.Tasks = l.Tasks[len(ps):]
				}
			}
		}
		for i, m := range ms { // reserved resources are free again in the next round
			m.Free = freeBefore[i]
		}
		for _, b := range running {
			if b.ends == round+7 {
				b.m.Free = b.m.Free.Add(b.each, -1)
			}
		}
	}
	return startedAt, served
}

// A steady arrival of small jobs must not starve the largest job of any class or team.
func TestLargestJobsAreNotStarved(t *testing.T) {
	var large []*Demand
	for _, class := range []string{"batch", "nightly"} {
		for _, team := range []string{"red", "blue"} {
			d := demand(40, 4)
			d.Job, d.Class, d.Team, d.Rank, d.WorkS, d.MissedObjectives = class+"-"+team, class, team, 2, 1e6, 1
			large = append(large, d)
		}
	}
	whole := demand(2, 16) // needs whole machines, which never become free without a reservation
	whole.Job, whole.Class, whole.Team, whole.Rank, whole.WorkS, whole.MissedObjectives = "whole", "wide", "red", 2, 1e6, 1
	gang := demand(3, 12)
	gang.Job, gang.Class, gang.Team, gang.Rank, gang.WorkS, gang.Gang = "gang", "gang", "blue", 2, 1e6, true
	large = append(large, whole, gang)
	startedAt, served := simulateLoad(t, large)
	for _, d := range large {
		if at, ok := startedAt[d.Job]; !ok || at > 240 {
			t.Errorf("%s started in round %d (started at all: %v), want round 240 at the latest", d.Job, at, ok)
		}
		if served[d.Job] < d.Total/2 {
			t.Errorf("%s: %d of %d tasks placed, want at least half", d.Job, served[d.Job], d.Total)
		}
	}
}

// Preemption leaves each team its guarantee in every guaranteed resource. Use beyond the
// guarantee in one resource, or a resource without a guarantee, does not make up for another.
// Victims of one team on the same machine count together.
func TestPreemptKeepsEveryGuaranteedResource(t *testing.T) {
	infinite := math.Inf(1)
	each := Resources{CPUs: 5, GPUs: 1, MemoryGB: 27}
	for _, c := range []struct {
		excess Resources
		gpus   float64 // GPUs of one task of the demand
		want   int     // tasks that may be stopped
	}{
		{Resources{CPUs: infinite, GPUs: 0}, 1, 0},
		{Resources{CPUs: infinite, GPUs: 1}, 1, 1},
		{Resources{CPUs: 100, GPUs: 0}, 1, 0},
		{Resources{CPUs: 4, GPUs: 9}, 1, 0},
		{Resources{CPUs: infinite, GPUs: 1}, 2, 0},
		{Resources{CPUs: infinite, GPUs: 2}, 2, 2},
	} {
		m := &Machine{ID: "m", Type: "g", Zone: "x", Cap: Resources{CPUs: 12, GPUs: 2, MemoryGB: 72}}
		terms := &PreemptionTerms{Job: "b", Team: "blue", Rank: 2, Borrowed: true, TaskResources: each}
		m.Tasks = []Victim{{PreemptionTerms: terms, Task: 0}, {PreemptionTerms: terms, Task: 1}}
		d := demand(1, 4)
		d.TaskResources.GPUs, d.Rank, d.Team, d.WithinGuarantee = c.gpus, 2, "red", true
		vs, _ := Preempt([]*Machine{m}, d, 1, Excess{"blue": c.excess}, time.Time{})
		if len(vs) != c.want {
			t.Errorf("excess %v: %d tasks stopped for %v GPUs, want %d", c.excess, len(vs), c.gpus, c.want)
		}
	}
}

// Where GPUs are scarce, comparing machines by cores alone would treat a machine with few free
// cores and both GPUs as the more loaded one and break up its pair of GPUs.
func TestPlaceComparesMachinesByDominantShare(t *testing.T) {
	ms := machines(2, "x", 12)
	ms[0].Free, ms[1].Free = Resources{CPUs: 5, GPUs: 2, MemoryGB: 64}, Resources{CPUs: 8, GPUs: 1, MemoryGB: 64}
	ms[1].Shard = ms[0].Shard
	d := demand(1, 4)
	d.TaskResources.GPUs = 1
	for measure, want := range map[Measure]*Machine{{}: ms[0], {CoresPerGPU: 6}: ms[1]} {
		d.Measure = measure
		p := Place(slices.Clone(ms), d)
		if len(p) != 1 || p[0].Machine != want {
			t.Errorf("%v cores to a GPU: %+v", measure.CoresPerGPU, p)
		}
		p[0].Machine.Free = p[0].Machine.Free.Add(d.TaskResources, 1)
	}
}

// TestPreemptNeverBreaksAGuarantee draws rounds of preemption between teams that are
// guaranteed GPUs, cores or both, and checks after each that no team was brought below its
// guarantee. A second series of rounds uses an excess that is one task too large, to show
// that the check detects it.
func TestPreemptNeverBreaksAGuarantee(t *testing.T) {
	infinite := math.Inf(1)
	var violations int
	round := func(t *rapid.T, excessTooLarge bool) {
		guarantees := map[string]Resources{}
		for _, team := range []string{"red", "blue"} {
			guarantees[team] = rapid.SampledFrom([]Resources{{CPUs: infinite, GPUs: 3}, {CPUs: 12, GPUs: infinite}, {CPUs: 20, GPUs: 2}, {}}).Draw(t, team)
		}
		use, excess := Excess{}, Excess{}
		beyond := func(guarantee float64) float64 {
			if guarantee == infinite {
				return infinite
			}
			return -guarantee
		}
		for team, g := range guarantees {
			excess[team] = Resources{CPUs: beyond(g.CPUs), GPUs: beyond(g.GPUs)}
		}
		var ms []*Machine
		for i := range rapid.IntRange(1, 5).Draw(t, "machines") {
			m := &Machine{ID: fmt.Sprint(i), Type: "g", Zone: "x", Cap: Resources{CPUs: 24, GPUs: 4, MemoryGB: 144}}
			for n := range 4 {
				terms := &PreemptionTerms{Job: fmt.Sprint(i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), Rank: 2, Borrowed: true,
					TaskResources: Resources{CPUs: rapid.SampledFrom([]float64{3.5, 5, 6}).Draw(t, "cores"), GPUs: 1, MemoryGB: 27}}
				m.Tasks = append(m.Tasks, Victim{PreemptionTerms: terms, Task: n})
				use.Add(terms)
				excess.Add(terms)
			}
			ms = append(ms, m)
		}
		if excessTooLarge {
			for team := range excess {
				excess[team] = excess[team].Add(Resources{CPUs: 6, GPUs: 1}, 1)
			}
		}
		d := demand(rapid.IntRange(1, 6).Draw(t, "tasks"), 4)
		d.TaskResources.GPUs, d.Rank, d.Team, d.WithinGuarantee = float64(rapid.IntRange(1, 3).Draw(t, "gpus")), 2, "green", true
		before := maps.Clone(use)
		victims, _ := Preempt(ms, d, len(d.Tasks), excess, time.Time{})
		for _, v := range victims {
			use.remove(v.PreemptionTerms)
		}
		below := func(was, is, guarantee float64) bool {
			return guarantee != infinite && is < was && is < guarantee-epsilon
		}
		for team, g := range guarantees {
			if below(before[team].CPUs, use[team].CPUs, g.CPUs) || below(before[team].GPUs, use[team].GPUs, g.GPUs) {
				violations++
				if !excessTooLarge {
					t.Fatalf("team %s is left with %+v, guaranteed are %+v", team, use[team], g)
				}
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) { round(t, false) })
	rapid.Check(t, func(t *rapid.T) { round(t, true) })
	if violations == 0 {
		t.Error("an excess that is too large broke no guarantee: the check does not detect it")
	}
}

// A started job whose tasks take next to no cores keeps its precedence by age: how many of its tasks fit into the reserve
// exceeds the range of an integer, and all of them lost the precedence.
func TestAgedTasksOfNextToNoCoresFitIntoTheReserve(t *testing.T) {
	for _, cpus := range []float64{0.5e-18, math.SmallestNonzeroFloat64, 1e-300, 0} {
		d := demand(3, cpus)
		d.Rank, d.Aged, d.Started = 2, true, true
		if ordered := OrderWithAging([]*Demand{d}, 4); len(ordered) != 1 || !ordered[0].Aged || len(ordered[0].Tasks) != 3 {
			t.Errorf("tasks of %v cores are split into %d demands although all of them fit into the reserve", cpus, len(ordered))
		}
	}
}

// A large job whose tasks take memory and no cores used none of the reserve of aged jobs, and was placed before all others
// for as long as it had tasks.
func TestAgedTasksOfMemoryAloneStayWithinTheReserve(t *testing.T) {
	d := demand(100, 0)
	d.TaskResources.MemoryGB, d.Measure = 60, Measure{CoresPerGB: 0.25}
	d.Rank, d.Aged, d.AgeS, d.Started = 2, true, 200, true
	ordered := OrderWithAging([]*Demand{d}, 40)
	if len(ordered) != 2 || len(ordered[0].Tasks) != 2 || !ordered[0].Aged || ordered[1].Aged {
		t.Errorf("a reserve of 40 cores is split into %d demands, the first of %d tasks; each task is worth 15 cores", len(ordered), len(ordered[0].Tasks))
	}
}

// Any number of tasks that take less than the tolerance for rounding errors fitted on a full machine, and into the limit of
// an unknown team. Amounts that are no numbers fitted a negative number of times, and machines of which they are part were
// requested although no task fits on them.
func TestFitsOfExtremeAmounts(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, c := range []struct {
		free, need float64
		want       int
	}{
		{0, 0, maxFits}, {0, 5e-7, 0}, {0, 0.5e-18, 0}, {1e-9, math.SmallestNonzeroFloat64, 0}, {-4, 1e-12, 0},
		{16, math.SmallestNonzeroFloat64, maxFits}, {16, 0.5e-18, maxFits}, {16, 4, 4}, {3.9999999, 4, 1}, {16, 1e12, 0},
		{inf, 1e12, maxFits}, {inf, inf, 0}, {inf, 0, maxFits}, {nan, 1, 0}, {1, nan, 0}, {16, -1, 0}, {16, inf, 0},
	} {
		for _, fits := range []int{
			Resources{CPUs: c.free, GPUs: 1, MemoryGB: 1}.Fits(Resources{CPUs: c.need}),
			Resources{CPUs: 1, GPUs: c.free, MemoryGB: 1}.Fits(Resources{GPUs: c.need}),
			Resources{CPUs: 1, GPUs: 1, MemoryGB: c.free}.Fits(Resources{MemoryGB: c.need}),
		} {
			if fits != c.want {
				t.Errorf("%v fits %d times into %v, want %d", c.need, fits, c.free, c.want)
			}
		}
	}
}

// A gang that is larger than all machines, and a task that fits beside no service, had machines reserved for them for as
// long as they waited: all of them for the gang, so that no other batch job ever started.
func TestNothingIsReservedForWhatNeverFits(t *testing.T) {
	reserved := func(ms []*Machine, d *Demand) (n int) {
		ReserveFor(ms, d)
		for _, m := range ms {
			if m.Free == (Resources{}) {
				n++
			}
		}
		return n
	}
	gang := func(tasks int) *Demand {
		d := demand(tasks, 4)
		d.Gang = true
		return d
	}
	for tasks, want := range map[int]int{1: 1, 4: 1, 9: 3, 12: 3, 13: 0, 100000: 0} {
		if n := reserved(machines(3, "x", 16), gang(tasks)); n != want {
			t.Errorf("%d machines of 4 tasks each are reserved for a gang of %d tasks, want %d", n, tasks, want)
		}
	}
	oneZone := gang(8)
	oneZone.OneZone = true
	if n := reserved(append(machines(1, "x", 16), machines(2, "y", 16)...), oneZone); n != 2 {
		t.Errorf("%d machines are reserved for a gang that fits into the zone of two, want 2", n)
	}
	for service, want := range map[float64]int{2: 1, 6.3: 0} {
		ms := machines(3, "x", 16)
		for _, m := range ms {
			m.Permanent = Resources{CPUs: 2, MemoryGB: service}
			m.Free = m.Cap.Add(m.Permanent, -1)
		}
		task := demand(1, 0.5)
		task.TaskResources.MemoryGB = 60
		if n := reserved(ms, task); n != want {
			t.Errorf("%d machines of 64 GB with a service of %v GB each are reserved for a task of 60 GB, want %d", n, service, want)
		}
	}
}
