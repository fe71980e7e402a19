package scheduler

import (
	"cmp"
	"slices"
)

// Order sorts demands: services and prod first, then work within its team's
// guarantee, then by priority. When more is asked than can be done, the oldest
// first would make every job late: so those come first that can still meet their
// class's aims, and of them the least work. What has waited its turn comes before
// the others, the oldest first.
func Order(ds []*Demand) {
	slices.SortStableFunc(ds, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(urgent(a), urgent(b)), cmp.Compare(b.agedBy(), a.agedBy()), cmp.Compare(a.servicePhase(), b.servicePhase()),
			cmp.Compare(flag(!a.WithinGuarantee), flag(!b.WithinGuarantee)), cmp.Compare(a.Phase, b.Phase), cmp.Compare(flag(!a.limitedTo()), flag(!b.limitedTo())),
			cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Late, b.Late), cmp.Compare(a.WorkS, b.WorkS), cmp.Compare(b.AgeS, a.AgeS), cmp.Compare(a.Job, b.Job))
	})
}

// agedBy is the age of a demand that has waited its turn.
func (d *Demand) agedBy() float64 {
	if d.Aged {
		return d.AgeS
	}
	return 0
}

// OrderWithAging orders demands so that nobody is starved: least work first would put off
// the largest jobs for as long as smaller ones come. What has waited for too long
// comes first, but takes no more than the reserve, a size, that is left for
// such work, or one task to begin with; the rest of it keeps its place.
func OrderWithAging(ds []*Demand, reserve float64) []*Demand {
	var out []*Demand
	slices.SortStableFunc(ds, func(a, b *Demand) int { return cmp.Compare(b.agedBy(), a.agedBy()) })
	for _, d := range ds {
		n, size := len(d.Tasks), d.Measure.Of(d.Each)
		if d.Aged && urgent(d) > 0 && !d.Gang && size > 0 {
			n = min(n, max(int(reserve/size), 1-flag(d.Begun)))
			reserve -= float64(n) * size
		}
		if n < len(d.Tasks) {
			rest := *d
			rest.Tasks, rest.Aged = d.Tasks[n:], false
			out = append(out, &rest)
			d.Tasks = d.Tasks[:n]
		}
		if n > 0 {
			out = append(out, d)
		}
	}
	Order(out)
	return out
}

// ReserveFor keeps machines free of other work until a demand that can't start
// piecemeal, all tasks of a gang or one task that needs most of a machine, fits:
// smaller work would take every core as it comes free.
func ReserveFor(machines []*Machine, d *Demand) {
	want := 1
	if d.Gang {
		want = len(d.Tasks)
	}
	var fit []*Machine
	for _, m := range machines {
		if !m.Virtual && d.takes(m) && m.Cap.Fits(d.Each) > 0 && d.zoneRoom(m.Zone) > 0 {
			fit = append(fit, m)
		}
	}
	// The freest first: what is held only becomes freer, so the choice stays.
	slices.SortStableFunc(fit, func(a, b *Machine) int {
		return cmp.Or(cmp.Compare(d.Measure.Of(b.Free), d.Measure.Of(a.Free)), cmp.Compare(a.ID, b.ID))
	})
	zone := ""
	for _, m := range fit {
		if want <= 0 {
			break
		}
		if d.OneZone && zone != "" && m.Zone != zone {
			continue
		}
		zone = m.Zone
		want -= m.Cap.Fits(d.Each)
		m.Free = Resources{}
	}
}

func urgent(d *Demand) int { return flag(d.Rank > 0 && !d.Service) }

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
