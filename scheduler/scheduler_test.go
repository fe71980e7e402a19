package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func machines(n int, zone string, cpus float64) []*Machine {
	var ms []*Machine
	for i := range n {
		c := Resources{CPUs: cpus, MemoryGB: 64}
		ms = append(ms, &Machine{ID: fmt.Sprintf("%s%d", zone, i), Type: "t", Zone: zone, Part: fmt.Sprint(i % 2),
			Cap: c, Free: c, Images: map[string]bool{}})
	}
	return ms
}

func demand(tasks int, cpus float64) *Demand {
	return &Demand{Job: "j", Tasks: make([]int, tasks), Total: tasks, RoomInTeam: tasks,
		Each: Resources{CPUs: cpus, MemoryGB: 1}, Image: "img", InZone: map[string]int{}}
}

// TestPlaceKeepsConstraints checks room, zones, kinds and the team's limit on
// random machines and demands.
func TestPlaceKeepsConstraints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ms []*Machine
		for i := range rapid.IntRange(1, 8).Draw(t, "machines") {
			c := Resources{CPUs: float64(rapid.IntRange(1, 16).Draw(t, "cpus")), MemoryGB: 64}
			ms = append(ms, &Machine{ID: fmt.Sprint(i), Type: rapid.SampledFrom([]string{"s", "b"}).Draw(t, "type"),
				Zone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot"),
				Part: fmt.Sprint(i % 3), Cap: c, Free: c, Images: map[string]bool{"img": rapid.Bool().Draw(t, "cached")}})
		}
		d := demand(rapid.IntRange(1, 12).Draw(t, "tasks"), float64(rapid.IntRange(1, 4).Draw(t, "each")))
		d.RoomInTeam = rapid.IntRange(0, 12).Draw(t, "room")
		d.Spread, d.Spot, d.Gang = rapid.Bool().Draw(t, "spread"), rapid.Bool().Draw(t, "lend"), rapid.Bool().Draw(t, "gang")
		d.OneZone = !d.Spread && rapid.Bool().Draw(t, "one zone")
		d.Loose, d.CachedOnly = rapid.Bool().Draw(t, "loose"), rapid.Bool().Draw(t, "cached only")
		placed := Place(ms, d)
		if len(placed) > min(len(d.Tasks), d.RoomInTeam) || d.Gang && len(placed) > 0 && len(placed) < len(d.Tasks) {
			t.Fatalf("placed %d", len(placed))
		}
		zones, used := map[string]int{}, map[*Machine]float64{}
		for _, p := range placed {
			m := p.Machine
			zones[m.Zone]++
			used[m] += d.Each.CPUs
			if m.Spot && !d.Spot || d.CachedOnly && !m.Images["img"] {
				t.Fatalf("placed on %+v", m)
			}
		}
		for m, u := range used {
			if u > m.Cap.CPUs || m.Free.CPUs != m.Cap.CPUs-u {
				t.Fatalf("%v of %v cores used, %v free", u, m.Cap.CPUs, m.Free.CPUs)
			}
		}
		for _, n := range zones {
			if d.OneZone && len(zones) > 1 || d.Spread && n > (d.Total+1)/2 {
				t.Fatalf("zones %v of %d", zones, d.Total)
			}
		}
	})
}

func TestPlacePrefersThePartWithItsImage(t *testing.T) {
	ms := machines(4, "x", 16)
	ms[3].Images["img"] = true
	ms[3].Free.CPUs = 4
	if p := Place(ms, demand(2, 2)); len(p) != 2 || p[0].Machine != ms[3] || p[1].Machine != ms[3] {
		t.Fatalf("%+v", p)
	}
}

func TestPlaceTooBigForAnyPartSpansAll(t *testing.T) {
	ms := machines(4, "x", 4)
	if p := Place(ms, demand(15, 1)); len(p) != 15 {
		t.Fatalf("placed %d of 15", len(p))
	}
}

// Two small tasks side by side leave room for one more large one than the same
// two on two machines.
func TestLoosePlacementCrowdsOutLittle(t *testing.T) {
	ms := machines(2, "x", 16)
	ms[0].Images["img"], ms[1].Images["img"] = true, true
	d := demand(2, 2)
	d.Loose, d.Others = true, []Resources{{CPUs: 4}}
	if Place(ms, d); ms[0].Free.Fits(d.Others[0])+ms[1].Free.Fits(d.Others[0]) != 7 {
		t.Fatalf("free %v and %v", ms[0].Free, ms[1].Free)
	}
}

// An image that is nowhere yet comes to as many machines as there are tasks.
func TestLoosePlacementSpreadsANewImage(t *testing.T) {
	ms := machines(2, "x", 16)
	d := demand(2, 2)
	d.Loose, d.Others = true, []Resources{{CPUs: 4}}
	for _, m := range ms {
		m.Part = "one"
	}
	if p := Place(ms, d); p[0].Machine == p[1].Machine {
		t.Fatal("both tasks are on one machine")
	}
}

func TestOrder(t *testing.T) {
	names := []string{"service", "within", "small", "large", "late", "borrowed"}
	ds := []*Demand{
		{Job: "borrowed", Rank: 2}, {Job: "late", Rank: 2, Within: true, Late: 1}, {Job: "large", Rank: 2, Within: true, WorkS: 9},
		{Job: "service", Rank: 2, Service: true, Within: true}, {Job: "small", Rank: 2, Within: true, WorkS: 5},
		{Job: "within", Rank: 1, Within: true, WorkS: 100},
	}
	Order(ds)
	for i, d := range ds {
		if d.Job != names[i] {
			t.Errorf("place %d: %s, want %s", i, d.Job, names[i])
		}
	}
}

func TestPreempt(t *testing.T) {
	full := func(terms Terms) []*Machine {
		ms := machines(1, "x", 4)
		ms[0].Free = Resources{}
		terms.Each = Resources{CPUs: 4, MemoryGB: 4}
		ms[0].Tasks = []Victim{{Terms: &terms}}
		return ms
	}
	d := demand(1, 2)
	d.Rank, d.Team = 2, "red"
	for name, c := range map[string]struct {
		victim Terms
		within bool
		want   bool
	}{
		"lower priority":            {Terms{Rank: 3, Team: "red"}, false, true},
		"same priority":             {Terms{Rank: 2, Team: "blue"}, true, false},
		"borrowed, for a guarantee": {Terms{Rank: 2, Team: "blue", Borrowed: true}, true, true},
		"borrowed, for borrowed":    {Terms{Rank: 2, Team: "blue", Borrowed: true}, false, false},
		"borrowed by the same team": {Terms{Rank: 2, Team: "red", Borrowed: true}, true, false},
		"higher priority, borrowed": {Terms{Rank: 0, Team: "blue", Borrowed: true}, true, true},
		"higher priority, its own":  {Terms{Rank: 0, Team: "blue"}, true, false},
	} {
		d.Within = c.within
		vs, room := Preempt(full(c.victim), d, 1, time.Time{})
		if room == 1 != c.want || len(vs) > 0 != c.want {
			t.Errorf("%s: %v %v", name, vs, room)
		}
	}
	// Room that is becoming free is kept for one task and stops nothing more.
	ms := full(Terms{Rank: 3})
	ms[0].Soon = Resources{CPUs: 2, MemoryGB: 2}
	if vs, room := Preempt(ms, d, 1, time.Time{}); vs != nil || room != 1 || ms[0].Soon.CPUs != 0 {
		t.Errorf("stopped %v, room for %v, soon %v", vs, room, ms[0].Soon)
	}
}

func TestFleetRentsTheCheapestThatFits(t *testing.T) {
	offers := []Offer{
		{Type: "big", Cap: Resources{CPUs: 32, MemoryGB: 256}, Price: 2.67},
		{Type: "big", Spot: true, Cap: Resources{CPUs: 32, MemoryGB: 256}, Price: 0.92},
		{Type: "small", Cap: Resources{CPUs: 4, MemoryGB: 32}, Price: 0.36},
	}
	d := demand(1, 2)
	if w := Fleet(nil, []*Demand{d}, offers, 5); len(w) != 1 || w[0].Offer.Type != "small" || w[0].Count != 1 {
		t.Errorf("one small task: %+v", w)
	}
	d = demand(5, 8)
	d.Spot = true
	if w := Fleet(nil, []*Demand{d}, offers, 5); len(w) != 1 || !w[0].Offer.Spot || w[0].Count != 2 {
		t.Errorf("five large tasks on spot: %+v", w)
	}
	if w := Fleet(machines(1, "x", 16), []*Demand{demand(4, 2)}, offers, 5); w != nil {
		t.Errorf("rented %+v though there is room", w)
	}
}

func TestPartsMoveOnlyTheEndedControllersMachines(t *testing.T) {
	all, rest := []string{"n0", "n1", "n2"}, []string{"n0", "n2"}
	seen := map[string]int{}
	for i := range 300 {
		id := fmt.Sprintf("i-%06d", i)
		before, after := PartOf(id, all), PartOf(id, rest)
		seen[before]++
		if before != "n1" && before != after {
			t.Fatalf("%s moved from %s to %s", id, before, after)
		}
	}
	for _, n := range all {
		if seen[n] < 60 {
			t.Errorf("%s has %d of 300 machines", n, seen[n])
		}
	}
}
