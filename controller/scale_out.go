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

// Scale-out: requests for instances. A request is recorded under a unique name before it is sent, so that a retry never
// rents a machine twice.

// rentalRequest is a request for machines that are not all known to be up or released.
type rentalRequest struct {
	spec     wire.RentRequest
	since    time.Time // when it was decided; zero for one restored from its record
	version  uint64    // of its record; 0: not written yet
	inFlight bool
	sent     bool // by this or an earlier leader: it may have started instances
	answered bool
	machines []string
}

type offerKey struct {
	typ, zone string
	spot      bool
}

// callCloud calls the cloud if the leader has authority and the rate limit allows it, and reports whether it did.
func (s *autoscaler) callCloud(call CloudCall, fn func(CloudReply)) bool {
	if !s.c.hasAuthority() || !s.cloudLimiter.AllowN(s.c.now, 1) {
		return false
	}
	s.c.callCloud(call, func(r CloudReply) {
		if s.c.lead == s.leader {
			fn(r)
		}
	})
	return true
}

// sendRentalRequests sends the recorded rental requests that have no answer, and drops those whose machines are all
// accounted for. A request that was never sent is dropped if the cloud has refused the same offer since: calls are
// limited, and other requests need them.
func (s *autoscaler) sendRentalRequests() {
	for _, name := range s.requestOrder() {
		req := s.requests[name]
		switch {
		case req.version == 0 || req.inFlight:
		case req.answered:
			if s.allAccountedFor(req) {
				s.dropRequest(req)
			}
		case !req.sent && s.refusedAt[req.offer()].After(req.since):
			s.dropRequest(req)
		default:
			req.inFlight = s.callCloud(CloudCall{Op: CloudRent, Rent: req.spec}, func(r CloudReply) { s.handleRequestReply(req, r) })
			req.sent = req.sent || req.inFlight
		}
	}
}

// requestOrder lists the names of the rental requests in the order of sending. While zones recover it is the order
// in which the requests were decided, so that machines for what restarts first are requested first.
func (s *autoscaler) requestOrder() []string {
	names := slices.Sorted(maps.Keys(s.requests))
	if s.zones.recovering() {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(s.requests[a].since.Compare(s.requests[b].since), cmp.Compare(len(a), len(b)))
		})
	}
	return names
}

// offer is the kind of instance that a request is for: type, zone, and whether spot.
func (req *rentalRequest) offer() offerKey {
	return offerKey{req.spec.Type, req.spec.Zone, req.spec.Spot}
}

// handleRequestReply handles the cloud's reply to a rental request.
func (s *autoscaler) handleRequestReply(req *rentalRequest, r CloudReply) {
	req.inFlight = false
	k := req.offer()
	switch r.Status {
	case http.StatusOK:
		req.answered, req.machines = true, r.Rented.Machines
		if len(req.machines) < req.spec.Count {
			s.refusedAt[k] = s.c.now
		}
		s.addRequestedMachines(req)
		s.recordRequest(req, func(StateReply) {})
		s.c.log(slog.LevelInfo, "rented", "request", req.spec.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "machines", len(req.machines))
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		s.refusedAt[k] = s.c.now
		s.ranAt = time.Time{} // run the autoscaler again at once: another offer may succeed
		s.c.log(slog.LevelInfo, "rental refused", "request", req.spec.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "status", r.Status)
		s.dropRequest(req)
	}
}

// addRequestedMachines adds the machines of an answered request to the fleet.
func (s *autoscaler) addRequestedMachines(req *rentalRequest) {
	for _, id := range req.machines {
		if _, released := s.released[id]; released {
			continue
		}
		m := s.machine(id)
		if m.expectedInListSince.IsZero() {
			m.expectedInListSince = s.c.now // it exists by now: a list made later shows it
		}
		if !m.up {
			m.typ, m.zone, m.spot, m.rentedAt = req.spec.Type, req.spec.Zone, req.spec.Spot, req.since
		}
	}
}

// recordRequest writes the state of a request, conditional on leadership and on the record's known version.
func (s *autoscaler) recordRequest(req *rentalRequest, done func(StateReply)) {
	key := rentalPrefix + req.spec.Request
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: key, Version: req.version}},
		Then: []wire.Change{put(key, rentalRecord{req.spec, req.answered, req.machines})},
	}
	s.c.callStateService(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead == s.leader {
			done(r)
		}
	})
}

// allAccountedFor reports whether every machine of a request is up or released.
func (s *autoscaler) allAccountedFor(req *rentalRequest) bool {
	for _, id := range req.machines {
		if m := s.machines[id]; m != nil && !m.up {
			return false
		}
	}
	return true
}

func (s *autoscaler) dropRequest(req *rentalRequest) {
	delete(s.requests, req.spec.Request)
	s.obsoleteKeys = append(s.obsoleteKeys, rentalPrefix+req.spec.Request)
}

// requestRental records a request under a name that is never used again, then sends it.
func (s *autoscaler) requestRental(r wire.RentRequest) {
	s.requestSeq++
	r.Request = fmt.Sprintf("r-%d-%d", s.token, s.requestSeq)
	req := &rentalRequest{spec: r, since: s.c.now}
	s.requests[r.Request] = req
	s.recordRequest(req, func(reply StateReply) {
		if reply.Status != http.StatusOK {
			delete(s.requests, r.Request) // never sent; if the write takes effect late, the next leader sends it
			return
		}
		req.version = reply.Txn.Revision
		s.sendRentalRequests()
	})
}

// offers lists the offers that can be requested, without those refused recently.
func (s *autoscaler) offers() []scheduler.Offer {
	var out []scheduler.Offer
	for _, name := range slices.Sorted(maps.Keys(s.c.types)) {
		t := s.c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				at, refused := s.refusedAt[offerKey{name, zone, spot}]
				if refused && s.c.now.Sub(at) < refusalRetention || s.zones.limitRentals(zone, 1) == 0 {
					continue
				}
				out = append(out, scheduler.Offer{Type: name, Zone: zone, Spot: spot, Cap: machineCapacity(t), Price: priceOf(t, spot)})
			}
		}
	}
	return out
}
