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
func (l *leader) call(call CloudCall, fn func(CloudReply)) bool {
	if !l.c.entitled() || !l.fleet.calls.AllowN(l.c.now, 1) {
		return false
	}
	l.c.cloud(call, func(r CloudReply) {
		if l.c.lead == l {
			fn(r)
		}
	})
	return true
}

// sendRentals sends rental requests that are recorded and not answered. One that was
// never asked for is dropped when its like has been refused meanwhile: the calls are
// few, and others need them.
func (l *leader) sendRentals() {
	f := &l.fleet
	for _, name := range l.rentalOrder() {
		h := f.rentals[name]
		switch {
		case h.version == 0 || h.asking:
		case h.answered:
			if l.accounted(h) {
				l.dropRental(h)
			}
		case !h.asked && f.refused[h.offer()].After(h.since):
			l.dropRental(h)
		default:
			h.asking = l.call(CloudCall{Op: CloudRent, Rent: h.rent}, func(r CloudReply) { l.rentalAnswered(h, r) })
			h.asked = h.asked || h.asking
		}
	}
}

// rentalOrder lists the names of the rentals; while zones recover, in the order in which they were
// decided, so that what restarts first is asked for first.
func (l *leader) rentalOrder() []string {
	names := slices.Sorted(maps.Keys(l.fleet.rentals))
	if l.zones.recovering() {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(l.fleet.rentals[a].since.Compare(l.fleet.rentals[b].since), cmp.Compare(len(a), len(b)))
		})
	}
	return names
}

func (h *rental) offer() offerKey { return offerKey{h.rent.Type, h.rent.Zone, h.rent.Spot} }

func (l *leader) rentalAnswered(h *rental, r CloudReply) {
	h.asking = false
	k := h.offer()
	switch r.Status {
	case http.StatusOK:
		h.answered, h.machines = true, r.Names.Machines
		if len(h.machines) < h.rent.Count {
			l.fleet.refused[k] = l.c.now
		}
		l.addRented(h)
		l.recordRental(h, func(StateReply) {})
		l.c.log(slog.LevelInfo, "rented", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "machines", len(h.machines))
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		l.fleet.refused[k] = l.c.now
		l.fleet.ranAt = time.Time{} // another offer may do
		l.c.log(slog.LevelInfo, "rental refused", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "status", r.Status)
		l.dropRental(h)
	}
}

// addRented takes the machines of a request into the ledger.
func (l *leader) addRented(h *rental) {
	for _, id := range h.machines {
		if _, gone := l.released[id]; gone {
			continue
		}
		m := l.machine(id)
		if m.listed.IsZero() {
			m.listed = l.c.now // it exists by now: a list of a later time shows it
		}
		if !m.up {
			m.typ, m.zone, m.spot, m.rented = h.rent.Type, h.rent.Zone, h.rent.Spot, h.since
		}
	}
}

// recordRental writes what is known of a request, over the record that we know of.
func (l *leader) recordRental(h *rental, done func(StateReply)) {
	key := rentalPrefix + h.rent.Request
	txn := wire.Txn{
		If:   []wire.Cond{l.leadershipCondition(), {Key: key, Version: h.version}},
		Then: []wire.Change{put(key, rentalRecord{h.rent, h.answered, h.machines})},
	}
	l.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if l.c.lead == l {
			done(r)
		}
	})
}

// accounted reports whether every machine of a request is up or released.
func (l *leader) accounted(h *rental) bool {
	for _, id := range h.machines {
		if m := l.machines[id]; m != nil && !m.up {
			return false
		}
	}
	return true
}

func (l *leader) dropRental(h *rental) {
	delete(l.fleet.rentals, h.rent.Request)
	l.obsoleteKeys = append(l.obsoleteKeys, rentalPrefix+h.rent.Request)
}

// rent records a request under a name that is never used again, then makes it.
func (l *leader) rent(r wire.Rent) {
	f := &l.fleet
	f.seq++
	r.Request = fmt.Sprintf("r-%d-%d", l.token, f.seq)
	h := &rental{rent: r, since: l.c.now}
	f.rentals[r.Request] = h
	l.recordRental(h, func(reply StateReply) {
		if reply.Status != http.StatusOK {
			delete(f.rentals, r.Request) // never asked for; a late record is asked for by the next leader
			return
		}
		h.version = reply.Txn.Revision
		l.sendRentals()
	})
}

// offers lists what can be rented, less what was refused lately.
func (l *leader) offers() []scheduler.Offer {
	var out []scheduler.Offer
	for _, name := range slices.Sorted(maps.Keys(l.c.types)) {
		t := l.c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				at, refused := l.fleet.refused[offerKey{name, zone, spot}]
				if refused && l.c.now.Sub(at) < noCapacity || l.zones.rentable(zone, 1) == 0 {
					continue
				}
				out = append(out, scheduler.Offer{Type: name, Zone: zone, Spot: spot, Cap: capOf(t), Price: priceOf(t, spot)})
			}
		}
	}
	return out
}
