package controller

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Rentals. A request is recorded under a name of its own before it is made, so that no machine
// is rented twice.

// rental is a rental request whose machines are not all accounted for.
type rental struct {
	rent     wire.Rent
	since    time.Time
	version  uint64 // of its record; 0: not written yet
	asking   bool
	asked    bool // by us or an earlier leader: it may have rented
	answered bool
	machines []string
}

type offerKey struct {
	typ, zone string
	spot      bool
}

// call makes a call of the cloud if authority and the rate allow.
func (s *autoscaler) call(call CloudCall, fn func(CloudReply)) bool {
	if !s.c.entitled() || !s.calls.AllowN(s.c.now, 1) {
		return false
	}
	s.c.cloud(call, func(r CloudReply) {
		if s.c.lead == s.leader {
			fn(r)
		}
	})
	return true
}

// sendRentals sends rental requests that are recorded and not answered. One that was
// never asked for is dropped when its like has been refused meanwhile: the calls are
// few, and others need them.
func (s *autoscaler) sendRentals() {
	for _, name := range s.rentalOrder() {
		h := s.rentals[name]
		switch {
		case h.version == 0 || h.asking:
		case h.answered:
			if s.accounted(h) {
				s.dropRental(h)
			}
		case !h.asked && s.refused[h.offer()].After(h.since):
			s.dropRental(h)
		default:
			h.asking = s.call(CloudCall{Op: CloudRent, Rent: h.rent}, func(r CloudReply) { s.rentalAnswered(h, r) })
			h.asked = h.asked || h.asking
		}
	}
}

// rentalOrder lists the names of the rentals; while zones recover, in the order in which they were
// decided, so that what restarts first is asked for first.
func (s *autoscaler) rentalOrder() []string {
	names := slices.Sorted(maps.Keys(s.rentals))
	if s.zones.recovering() {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(s.rentals[a].since.Compare(s.rentals[b].since), cmp.Compare(len(a), len(b)))
		})
	}
	return names
}

func (h *rental) offer() offerKey { return offerKey{h.rent.Type, h.rent.Zone, h.rent.Spot} }

func (s *autoscaler) rentalAnswered(h *rental, r CloudReply) {
	h.asking = false
	k := h.offer()
	switch r.Status {
	case http.StatusOK:
		h.answered, h.machines = true, r.Names.Machines
		if len(h.machines) < h.rent.Count {
			s.refused[k] = s.c.now
		}
		s.addRented(h)
		s.recordRental(h, func(StateReply) {})
		s.c.log(slog.LevelInfo, "rented", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "machines", len(h.machines))
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		s.refused[k] = s.c.now
		s.ranAt = time.Time{} // another offer may do
		s.c.log(slog.LevelInfo, "rental refused", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "status", r.Status)
		s.dropRental(h)
	}
}

// addRented takes the machines of a request into the ledger.
func (s *autoscaler) addRented(h *rental) {
	for _, id := range h.machines {
		if _, gone := s.released[id]; gone {
			continue
		}
		m := s.machine(id)
		if m.listed.IsZero() {
			m.listed = s.c.now // it exists by now: a list of a later time shows it
		}
		if !m.up {
			m.typ, m.zone, m.spot, m.rented = h.rent.Type, h.rent.Zone, h.rent.Spot, h.since
		}
	}
}

// recordRental writes what is known of a request, over the record that we know of.
func (s *autoscaler) recordRental(h *rental, done func(StateReply)) {
	key := rentalPrefix + h.rent.Request
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: key, Version: h.version}},
		Then: []wire.Change{put(key, rentalRecord{h.rent, h.answered, h.machines})},
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead == s.leader {
			done(r)
		}
	})
}

// accounted reports whether every machine of a request is up or released.
func (s *autoscaler) accounted(h *rental) bool {
	for _, id := range h.machines {
		if m := s.machines[id]; m != nil && !m.up {
			return false
		}
	}
	return true
}

func (s *autoscaler) dropRental(h *rental) {
	delete(s.rentals, h.rent.Request)
	s.obsoleteKeys = append(s.obsoleteKeys, rentalPrefix+h.rent.Request)
}

// rent records a request under a name that is never used again, then makes it.
func (s *autoscaler) rent(r wire.Rent) {
	s.seq++
	r.Request = fmt.Sprintf("r-%d-%d", s.token, s.seq)
	h := &rental{rent: r, since: s.c.now}
	s.rentals[r.Request] = h
	s.recordRental(h, func(reply StateReply) {
		if reply.Status != http.StatusOK {
			delete(s.rentals, r.Request) // never asked for; a late record is asked for by the next leader
			return
		}
		h.version = reply.Txn.Revision
		s.sendRentals()
	})
}

// offers lists what can be rented, less what was refused lately.
func (s *autoscaler) offers() []scheduler.Offer {
	var out []scheduler.Offer
	for _, name := range slices.Sorted(maps.Keys(s.c.types)) {
		t := s.c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				at, refused := s.refused[offerKey{name, zone, spot}]
				if refused && s.c.now.Sub(at) < noCapacity || s.zones.rentable(zone, 1) == 0 {
					continue
				}
				out = append(out, scheduler.Offer{Type: name, Zone: zone, Spot: spot, Cap: capOf(t), Price: priceOf(t, spot)})
			}
		}
	}
	return out
}
