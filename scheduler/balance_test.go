package scheduler

import (
	"fmt"
	"testing"
)

// halfFull are machines of eight cores; of each so many cores are taken.
func halfFull(taken ...float64) []*Machine {
	var machines []*Machine
	for i, cores := range taken {
		size := Resources{CPUs: 8, MemoryGB: 32}
		machines = append(machines, &Machine{ID: fmt.Sprint("m", i), Type: "small", Zone: "a", Cap: size,
			Free: size.Add(Resources{CPUs: cores}, -1), Images: map[string]bool{}})
	}
	return machines
}

func balanced(tasks int, hot float64, useEmpty bool) *Demand {
	return &Demand{Job: "j", Tasks: make([]int, tasks), Total: tasks, RoomInTeam: tasks, Each: Resources{CPUs: 2, MemoryGB: 1}, Image: "i",
		InZone: map[string]int{}, Balance: &Balance{HotShare: hot, UseEmpty: useEmpty}}
}

// places lists on which machines tasks are placed, in order.
func places(machines []*Machine, d *Demand) string {
	text := ""
	for _, p := range Place(machines, d) {
		text += p.Machine.ID + " "
	}
	return text
}

// The order of machines for a balanced demand: with the image while cool, others while cool, then hot ones.
func TestBalancedPlacement(t *testing.T) {
	for name, c := range map[string]struct {
		taken    []float64
		cached   []int
		hot      float64
		useEmpty bool
		tasks    int
		want     string
	}{
		"the smallest share first":                      {[]float64{4, 2, 6}, []int{0, 1, 2}, 1, false, 4, "m1 m0 m1 m0 "},
		"the image before the share, while cool":        {[]float64{4, 2, 6}, []int{0}, 0.8, false, 1, "m0 "},
		"a cool machine before the image":               {[]float64{6, 2, 4}, []int{0}, 0.8, false, 1, "m1 "},
		"what fetches counts as local, until it is hot": {[]float64{6, 2, 2, 2}, []int{0}, 0.8, false, 4, "m1 m1 m2 m2 "},
		"hot ones with the image before hot ones":       {[]float64{6, 5.5, 5}, []int{0}, 0.5, false, 1, "m0 "},
		"empty ones last where they are not kept":       {[]float64{0, 5, 6}, nil, 0.5, false, 2, "m1 m2 "},
		"empty ones like others where they are kept":    {[]float64{0, 4, 6}, nil, 0.8, true, 2, "m0 m0 "},
	} {
		machines := halfFull(c.taken...)
		for _, i := range c.cached {
			machines[i].Images["i"] = true
		}
		if got := places(machines, balanced(c.tasks, c.hot, c.useEmpty)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Demands of one round share the knowledge of what is being fetched; the leader's own is not changed.
func TestFetchesOfARoundAreShared(t *testing.T) {
	machines := halfFull(2, 2, 2, 2)
	before := map[string]bool{"other": true}
	machines[0].Fetching = before
	first, second := places(machines, balanced(1, 0.9, false)), places(machines, balanced(1, 0.9, false))
	if first != "m0 " || second != "m0 " || len(before) != 1 || !machines[0].Fetching["other"] {
		t.Errorf("placed on %s and %s; %v", first, second, before)
	}
}

// A task is placed on a machine only as every demand allows it.
func TestPlaceOn(t *testing.T) {
	for name, c := range map[string]struct {
		change func(d *Demand, m *Machine)
		placed bool
	}{
		"as it is":     {func(*Demand, *Machine) {}, true},
		"no room":      {func(_ *Demand, m *Machine) { m.Free = Resources{CPUs: 1, MemoryGB: 9} }, false},
		"avoided":      {func(d *Demand, m *Machine) { d.Avoid = map[string]bool{m.ID: true} }, false},
		"another type": {func(d *Demand, _ *Machine) { d.Types = []string{"big"} }, false},
		"another zone": {func(d *Demand, _ *Machine) { d.Zone = "b" }, false},
		"one zone":     {func(d *Demand, _ *Machine) { d.OneZone, d.InZone["b"] = true, 1 }, false},
		"scattered":    {func(d *Demand, _ *Machine) { d.Spread, d.InZone["a"] = true, 2 }, false},
		"a limited zone": {func(d *Demand, _ *Machine) {
			d.Limits = map[string]*StartLimit{"a": {Fetches: func(string) int { return 9 }}}
		}, false},
		"a zone's fetches": {func(d *Demand, _ *Machine) {
			d.Limits = map[string]*StartLimit{"a": {Starts: 9, Fetches: func(string) int { return 0 }}}
		}, false},
	} {
		m, d := halfFull(2)[0], balanced(4, 1, true)
		c.change(d, m)
		free, inZone := m.Free, d.InZone["a"]
		p, placed := PlaceOn(m, d, 3)
		if placed != c.placed || placed != (m.Free != free) || placed != (d.InZone["a"] > inZone) || placed && p != (Assignment{3, m}) {
			t.Errorf("%s: placed %v, %+v, free %v of %v", name, placed, p, m.Free, free)
		}
	}
}

// A job goes to the part of the machines where its image is only as far as those are cool.
func TestPartsCountCoolRoom(t *testing.T) {
	machines := halfFull(5, 2)
	machines[0].Part, machines[1].Part = "a", "b"
	machines[0].Images["i"] = true
	if got := places(machines, balanced(1, 0.6, false)); got != "m1 " {
		t.Errorf("beside a hot machine with the image: %s", got)
	}
	if got := places(halfFull(5, 2)[:1], balanced(1, 0.6, false)); got != "m0 " {
		t.Errorf("where there is no other: %s", got)
	}
}
