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

// Instance requests: scale-out. A request is recorded under a name of its own before it is made,
// so that a retry never gets a machine twice.

// instanceRequest is a request for instances whose machines are not all accounted for.
type instanceRequest struct {
	spec     wire.Rent
	since    time.Time
	version  uint64 // of its record; 0: not written yet
	asking   bool
	asked    bool // by us or an earlier leader: it may have started instances
	answered bool
	machines []string
}

type offerKey struct {
	typ, zone string
	spot      bool
}

// callCloud makes a call of the cloud if authority and the rate allow.
func (s *autoscaler) callCloud(call CloudCall, fn func(CloudReply)) bool {
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

// sendInstanceRequests sends instance requests that are recorded and not answered. One that was
// never asked for is dropped when its like has been refused meanwhile: the calls are
// few, and others need them.
func (s *autoscaler) sendInstanceRequests() {
	for _, name := range s.requestOrder() {
		req := s.requests[name]
		switch {
		case req.version == 0 || req.asking:
		case req.answered:
			if s.accounted(req) {
				s.dropRequest(req)
			}
		case !req.asked && s.refused[req.offer()].After(req.since):
			s.dropRequest(req)
		default:
			req.asking = s.callCloud(CloudCall{Op: CloudRent, Rent: req.spec}, func(r CloudReply) { s.requestAnswered(req, r) })
			req.asked = req.asked || req.asking
		}
	}
}

// requestOrder lists the names of the instance requests; while zones recover, in the order in which they were
// decided, so that what restarts first is asked for first.
func (s *autoscaler) requestOrder() []string {
	names := slices.Sorted(maps.Keys(s.requests))
	if s.zones.recovering() {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(s.requests[a].since.Compare(s.requests[b].since), cmp.Compare(len(a), len(b)))
		})
	}
	return names
}

// offer is the kind of instance that a request asks for.
func (req *instanceRequest) offer() offerKey {
	return offerKey{req.spec.Type, req.spec.Zone, req.spec.Spot}
}

// requestAnswered takes in the cloud's answer to an instance request.
func (s *autoscaler) requestAnswered(req *instanceRequest, r CloudReply) {
	req.asking = false
	k := req.offer()
	switch r.Status {
	case http.StatusOK:
		req.answered, req.machines = true, r.Names.Machines
		if len(req.machines) < req.spec.Count {
			s.refused[k] = s.c.now
		}
		s.addRequested(req)
		s.recordRequest(req, func(StateReply) {})
		s.c.log(slog.LevelInfo, "rented", "request", req.spec.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "machines", len(req.machines))
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		s.refused[k] = s.c.now
		s.ranAt = time.Time{} // another offer may do
		s.c.log(slog.LevelInfo, "rental refused", "request", req.spec.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "status", r.Status)
		s.dropRequest(req)
	}
}

// addRequested takes the machines of a request into the ledger.
func (s *autoscaler) addRequested(req *instanceRequest) {
	for _, id := range req.machines {
		if _, gone := s.released[id]; gone {
			continue
		}
		m := s.machine(id)
		if m.listed.IsZero() {
			m.listed = s.c.now // it exists by now: a list of a later time shows it
		}
		if !m.up {
			m.typ, m.zone, m.spot, m.rented = req.spec.Type, req.spec.Zone, req.spec.Spot, req.since
		}
	}
}

// recordRequest writes what is known of a request, over the record that we know of.
func (s *autoscaler) recordRequest(req *instanceRequest, done func(StateReply)) {
	key := rentalPrefix + req.spec.Request
	txn := wire.Txn{
		If:   []wire.Cond{s.leadershipCondition(), {Key: key, Version: req.version}},
		Then: []wire.Change{put(key, rentalRecord{req.spec, req.answered, req.machines})},
	}
	s.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(r StateReply) {
		if s.c.lead == s.leader {
			done(r)
		}
	})
}

// accounted reports whether every machine of a request is up or released.
func (s *autoscaler) accounted(req *instanceRequest) bool {
	for _, id := range req.machines {
		if m := s.machines[id]; m != nil && !m.up {
			return false
		}
	}
	return true
}

func (s *autoscaler) dropRequest(req *instanceRequest) {
	delete(s.requests, req.spec.Request)
	s.obsoleteKeys = append(s.obsoleteKeys, rentalPrefix+req.spec.Request)
}

// requestInstances records a request under a name that is never used again, then makes it.
func (s *autoscaler) requestInstances(r wire.Rent) {
	s.requestSeq++
	r.Request = fmt.Sprintf("r-%d-%d", s.token, s.requestSeq)
	req := &instanceRequest{spec: r, since: s.c.now}
	s.requests[r.Request] = req
	s.recordRequest(req, func(reply StateReply) {
		if reply.Status != http.StatusOK {
			delete(s.requests, r.Request) // never asked for; a late record is asked for by the next leader
			return
		}
		req.version = reply.Txn.Revision
		s.sendInstanceRequests()
	})
}

// offers lists what can be requested, less what was refused lately.
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
