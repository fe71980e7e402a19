package scheduler

import "cmp"

// Offer is a kind of machine that can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
	Cap        Resources
	Price      float64
}

// Want is a number of machines to rent.
type Want struct {
	Offer Offer
	Count int
}

// Fleet decides what to rent for demands that no machine, booting ones
// included, has room for, in up to most kinds of machine. The cheapest offer for
// each task that it can hold wins.
func Fleet(machines []*Machine, demands []*Demand, offers []Offer, most int) []Want {
	var wants []Want
	kinds := map[Offer]bool{}
	Order(demands)
	for _, d := range demands {
		left := min(len(d.Tasks), d.RoomInTeam) - len(Place(machines, d))
		for left > 0 {
			best := cheapest(offers, d, left)
			if best == nil || !kinds[*best] && len(kinds) == most {
				break
			}
			m := &Machine{ID: "wanted", Type: best.Type, Zone: best.Zone, Spot: best.Spot, Cap: best.Cap, Free: best.Cap, Virtual: true}
			for left > 0 && d.zoneRoom(m.Zone) > 0 && m.Free.Fits(d.Each) > 0 {
				m.Free = m.Free.Add(d.Each, -1)
				d.InZone[m.Zone]++
				left--
			}
			machines = append(machines, m)
			kinds[*best] = true
			wants = append(wants, Want{*best, 1})
		}
	}
	return merge(wants)
}

func cheapest(offers []Offer, d *Demand, left int) *Offer {
	var best *Offer
	least := 0.0
	for i, o := range offers {
		if !d.Allows(o.Type, o.Zone, o.Spot) || d.zoneRoom(o.Zone) <= 0 {
			continue
		}
		n := min(o.Cap.Fits(d.Each), d.zoneRoom(o.Zone))
		if n == 0 {
			continue
		}
		// What the job leaves free on a larger machine still serves others:
		// it counts at half its worth.
		used := float64(min(n, left))
		each := o.Price / (used + (float64(n)-used)/2)
		if best == nil || cmp.Less(each, least) {
			best, least = &offers[i], each
		}
	}
	return best
}

func merge(wants []Want) []Want {
	var out []Want
next:
	for _, w := range wants {
		for i := range out {
			if out[i].Offer == w.Offer {
				out[i].Count++
				continue next
			}
		}
		out = append(out, w)
	}
	return out
}
