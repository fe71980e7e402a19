package scheduler

import (
	"fmt"
	"testing"
)

// partlyUsed returns one machine of eight cores for each given number of used cores.
func partlyUsed(usedCores ...float64) []*Machine {
	var machines []*Machine
	for i, used := range usedCores {
		size := Resources{CPUs: 8, MemoryGB: 32}
		machines = append(machines, &Machine{ID: fmt.Sprint("m", i), Type: "small", Zone: "a", Cap: size,
			Free: size.Add(Resources{CPUs: used}, -1), Images: map[string]bool{}})
	}
	return machines
}

// balancedDemand returns a demand of tasks of two cores that is spread by load.
func balancedDemand(tasks int, hot float64, useEmpty bool) *Demand {
	return &Demand{Job: "j", Tasks: make([]int, tasks), Total: tasks, RoomInTeam: tasks, TaskResources: Resources{CPUs: 2, MemoryGB: 1}, Image: "i",
		InZone: map[string]int{}, Balance: &Balance{HotShare: hot, UseEmpty: useEmpty}}
}

// placements places a demand and returns the IDs of the machines in the order of its tasks.
func placements(machines []*Machine, d *Demand) string {
	text := ""
	for _, p := range Place(machines, d) {
		text += p.Machine.ID + " "
	}
	return text
}

// A balanced demand prefers machines that stay below the hot share and have the image, then others that
// stay below it, then hot ones.
func TestBalancedPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		usedCores []float64
		cached    []int
		hot       float64
		useEmpty  bool
		tasks     int
		want      string
	}{
		"smallest share first":                                                {[]float64{4, 2, 6}, []int{0, 1, 2}, 1, false, 4, "m1 m0 m1 m0 "},
		"image before share, while not hot":                                   {[]float64{4, 2, 6}, []int{0}, 0.8, false, 1, "m0 "},
		"machine that stays below the hot share before one with the image":    {[]float64{6, 2, 4}, []int{0}, 0.8, false, 1, "m1 "},
		"machine that fetches the image counts as having it, until it is hot": {[]float64{6, 2, 2, 2}, []int{0}, 0.8, false, 4, "m1 m1 m2 m2 "},
		"hot machine with the image before other hot ones":                    {[]float64{6, 5.5, 5}, []int{0}, 0.5, false, 1, "m0 "},
		"empty machines last if UseEmpty is false":                            {[]float64{0, 5, 6}, nil, 0.5, false, 2, "m1 m2 "},
		"empty machines like others if UseEmpty is true":                      {[]float64{0, 4, 6}, nil, 0.8, true, 2, "m0 m0 "},
	} {
		machines := partlyUsed(c.usedCores...)
		for _, i := range c.cached {
			machines[i].Images["i"] = true
		}
		if got := placements(machines, balancedDemand(c.tasks, c.hot, c.useEmpty)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// A placement marks its image as being fetched for later demands of the same round, on a copy of the map:
// the leader's own map does not change.
func TestFetchesOfARoundAreShared(t *testing.T) {
	machines := partlyUsed(2, 2, 2, 2)
	before := map[string]bool{"other": true}
	machines[0].Fetching = before
	first, second := placements(machines, balancedDemand(1, 0.9, false)), placements(machines, balancedDemand(1, 0.9, false))
	if first != "m0 " || second != "m0 " || len(before) != 1 || !machines[0].Fetching["other"] {
		t.Errorf("placed on %s and %s, want m0 for both; leader's map %v", first, second, before)
	}
}

// PlaceOn checks a demand's constraints on machines, zones and starts, and takes no resources when it refuses.
func TestPlaceOn(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *Demand, m *Machine)
		placed bool
	}{
		"no constraint":             {func(*Demand, *Machine) {}, true},
		"no room":                   {func(_ *Demand, m *Machine) { m.Free = Resources{CPUs: 1, MemoryGB: 9} }, false},
		"avoided machine":           {func(d *Demand, m *Machine) { d.Avoid = map[string]bool{m.ID: true} }, false},
		"another type":              {func(d *Demand, _ *Machine) { d.Types = []string{"big"} }, false},
		"another zone":              {func(d *Demand, _ *Machine) { d.Zone = "b" }, false},
		"one zone, already another": {func(d *Demand, _ *Machine) { d.OneZone, d.InZone["b"] = true, 1 }, false},
		"spread, zone is full":      {func(d *Demand, _ *Machine) { d.Spread, d.InZone["a"] = true, 2 }, false},
		"zone without starts left": {func(d *Demand, _ *Machine) {
			d.StartLimits = map[string]*StartLimit{"a": {FetchLimit: func(string) int { return 9 }}}
		}, false},
		"zone without fetches left": {func(d *Demand, _ *Machine) {
			d.StartLimits = map[string]*StartLimit{"a": {Starts: 9, FetchLimit: func(string) int { return 0 }}}
		}, false},
	} {
		m, d := partlyUsed(2)[0], balancedDemand(4, 1, true)
		c.change(d, m)
		free, inZone := m.Free, d.InZone["a"]
		p, placed := PlaceOn(m, d, 3)
		if placed != c.placed || placed != (m.Free != free) || placed != (d.InZone["a"] > inZone) || placed && p != (Assignment{3, m}) {
			t.Errorf("%s: placed %v, %+v, free %v of %v", name, placed, p, m.Free, free)
		}
	}
}

// A shard's machines with the image count only as far as they stay below the hot share.
func TestShardsCountRoomBelowHot(t *testing.T) {
	machines := partlyUsed(5, 2)
	machines[0].Shard, machines[1].Shard = "a", "b"
	machines[0].Images["i"] = true
	if got := placements(machines, balancedDemand(1, 0.6, false)); got != "m1 " {
		t.Errorf("other shard has a machine that is not hot: placed on %s", got)
	}
	if got := placements(partlyUsed(5, 2)[:1], balancedDemand(1, 0.6, false)); got != "m0 " {
		t.Errorf("no other shard: placed on %s", got)
	}
}
