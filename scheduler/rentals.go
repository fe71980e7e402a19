package scheduler

import "cmp"

// Offer is a kind of machine that can be rented from the cloud.
type Offer struct {
	Type, Zone string
	Spot       bool
	Cap        Resources
	Price      float64
}

// RentalRequest asks for a number of machines of one kind.
type RentalRequest struct {
	Offer Offer
	Count int
}

// RentalLimits bound what is rented in one round.
type RentalLimits struct {
	Kinds    int // kinds of machine
	Machines int // machines of all kinds together
}

// PlanRentals decides which machines to rent for tasks that fit on no machine, booting ones
// included. It stays within the limits and picks, each time, the offer with the lowest cost
// per task that it can hold.
func PlanRentals(machines []*Machine, demands []*Demand, offers []Offer, limits RentalLimits) []RentalRequest {
	var requests []RentalRequest
	kinds := map[Offer]bool{}
	Order(demands)
	for _, d := range demands {
		left := min(len(d.Tasks), d.RoomInTeam) - len(Place(machines, d))
		for left > 0 {
			best := cheapestOffer(offers, d, left)
			if best == nil || !kinds[*best] && len(kinds) == limits.Kinds {
				break
			}
			if len(requests) == limits.Machines {
				return mergeRequests(requests)
			}
			m := &Machine{ID: "wanted", Type: best.Type, Zone: best.Zone, Spot: best.Spot, Cap: best.Cap, Free: best.Cap, Virtual: true}
			for left > 0 && d.zoneRoom(m.Zone) > 0 && m.Free.Fits(d.TaskResources) > 0 {
				m.Free = m.Free.Add(d.TaskResources, -1)
				d.InZone[m.Zone]++
				left--
			}
			machines = append(machines, m)
			kinds[*best] = true
			requests = append(requests, RentalRequest{*best, 1})
		}
	}
	return mergeRequests(requests)
}

// cheapestOffer returns the offer with the lowest cost per task for the remaining tasks of a demand, or nil
// if none fits.
func cheapestOffer(offers []Offer, d *Demand, left int) *Offer {
	var best *Offer
	leastCost := 0.0
	for i, o := range offers {
		if !d.Allows(o.Type, o.Zone, o.Spot) || d.zoneRoom(o.Zone) <= 0 {
			continue
		}
		n := min(o.Cap.Fits(d.TaskResources), d.zoneRoom(o.Zone))
		if n <= 0 {
			continue
		}
		// Capacity that the job leaves free on a larger machine can serve other jobs:
		// it counts at half its value.
		used := float64(min(n, left))
		costPerTask := o.Price / (used + (float64(n)-used)/2)
		if best == nil || cmp.Less(costPerTask, leastCost) {
			best, leastCost = &offers[i], costPerTask
		}
	}
	return best
}

// mergeRequests adds up the counts of requests for the same offer.
func mergeRequests(requests []RentalRequest) []RentalRequest {
	var merged []RentalRequest
next:
	for _, request := range requests {
		for i := range merged {
			if merged[i].Offer == request.Offer {
				merged[i].Count++
				continue next
			}
		}
		merged = append(merged, request)
	}
	return merged
}
