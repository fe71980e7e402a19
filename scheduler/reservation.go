package scheduler

import (
	"cmp"
	"slices"
)

// ReserveFor reserves machines until a demand fits that cannot start bit by bit: a gang, or a task that needs most of a
// machine. Without it, smaller tasks would take every core as it becomes free. A reserved machine has no free resources
// for later demands of the round. Nothing is reserved for a demand that would not fit on the machines either once all
// tasks there that end by themselves have ended: nobody else could use the machines for as long as it waits.
func ReserveFor(machines []*Machine, d *Demand) {
	for _, m := range reservable(machines, d) {
		m.Free = Resources{}
	}
}

// WillFit reports whether a demand that cannot start bit by bit fits on the machines once all tasks there that end by
// themselves have ended.
func WillFit(machines []*Machine, d *Demand) bool { return reservable(machines, d) != nil }

// reservable returns the machines to reserve for a demand, or nil if they have too little room.
func reservable(machines []*Machine, d *Demand) []*Machine {
	want := 1
	if d.Gang {
		want = len(d.Tasks)
	}
	var fit []*Machine
	for _, m := range machines {
		if !m.Virtual && d.accepts(m) && d.eventualRoom(m) > 0 && d.zoneRoom(m.Zone) > 0 {
			fit = append(fit, m)
		}
	}
	// The least loaded machines first: a reserved machine only gains free resources, so the choice stays
	// the same in later rounds.
	slices.SortStableFunc(fit, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(d.Measure.Of(b.Free), d.Measure.Of(a.Free)), cmp.Compare(a.ID, b.ID))
	})
	if !d.OneZone {
		return firstWithRoom(fit, d, want)
	}
	tried := map[string]bool{}
	for _, m := range fit {
		if tried[m.Zone] {
			continue
		}
		tried[m.Zone] = true
		inZone := slices.DeleteFunc(slices.Clone(fit), func(o *Machine) bool { return o.Zone != m.Zone })
		if reserved := firstWithRoom(inZone, d, want); reserved != nil {
			return reserved
		}
	}
	return nil
}

// firstWithRoom returns the first machines that together will have room for a number of tasks, or nil if all of them have
// room for fewer.
func firstWithRoom(machines []*Machine, d *Demand, want int) []*Machine {
	for i, m := range machines {
		if want -= d.eventualRoom(m); want <= 0 {
			return machines[:i+1]
		}
	}
	return nil
}

// eventualRoom returns how many of the demand's tasks have room on a machine once all tasks there that end by themselves
// have ended.
func (d *Demand) eventualRoom(m *Machine) int {
	return min(m.Cap.Add(m.Permanent, -1).Fits(d.TaskResources), d.ownRoomOn(m))
}
