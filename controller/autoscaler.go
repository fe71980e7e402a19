package controller

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Autoscaling: when to scale out and in, and how many machines of which type the pending work needs.

const (
	autoscaleInterval     = time.Second
	typesInterval         = time.Minute
	releasedRetention     = 10 * time.Minute // how long a released machine is remembered
	refusalRetention      = 15 * time.Second // how long a refused offer is not requested again
	peakHalfLife          = 90.0             // seconds after which the weight of a job class's past peak demand has halved
	minRentalTime         = 50 * time.Second // at least a minute is charged, and the release call takes some of it
	scaleInMax            = 4                // unneeded machines released in one round: at most this number,
	scaleInDivisor        = 16               // or the number of all machines divided by this, if that is more
	maxMachinesPerRequest = 50               // machines in one request, the cloud's limit
	maxKindsPerRound      = 8                // kinds of machine requested in one round
	maxMachinesPerRound   = 1000             // machines requested in one round: each maxMachinesPerRequest of them take a write and a call
	maxMachinesPerRelease = 100              // machines in one release call, the cloud's limit
	cloudRateShare        = 0.9              // share of the cloud's rate limit that calls use: above the limit the cloud answers 429
)

// autoscaler is the part of the leader that scales the fleet out and in. It keeps the record of rental requests,
// requests machines for pending work and for headroom, and releases idle machines.
type autoscaler struct {
	*leader
	cloudLimiter      *rate.Limiter             // keeps calls to the cloud within its rate limit
	ranAt             time.Time                 // last round of scale-out and scale-in, see run
	releasesCheckedAt time.Time                 // last check for machines to release
	listedAt          time.Time                 // last read of the cloud's list
	listInFlight      bool                      // a page of the cloud's list is requested
	typesAt           time.Time                 // last successful read of the machine types
	typesInFlight     bool                      // the machine types are requested
	requests          map[string]*rentalRequest // by request name
	requestSeq        int                       // number in the last request name of this leader
	refusedAt         map[offerKey]time.Time    // when the cloud last refused each offer
	peaks             map[string]*peak          // by job class
	releaseInFlight   bool                      // a release call is in flight
	consolidatedAt    time.Time                 // last check for a machine to empty, see consolidate
	demandHints       map[string]demandHint     // by job ID
	arrivals          []arrival                 // within the last arrivalWindow
}

func newAutoscaler(l *leader) *autoscaler {
	return &autoscaler{
		leader:      l,
		requests:    map[string]*rentalRequest{},
		refusedAt:   map[offerKey]time.Time{},
		peaks:       map[string]*peak{},
		demandHints: map[string]demandHint{},
	}
}

// restore takes over the recorded rental requests of earlier leaders. Those without a recorded answer are sent
// again, which is idempotent because requests are identified by their names.
func (s *autoscaler) restore(items []wire.Item) {
	s.cloudLimiter = rate.NewLimiter(rate.Limit(s.c.cfg.Facts.Cloud.RPS*cloudRateShare), max(1, int(s.c.cfg.Facts.Cloud.RPS)))
	for _, it := range items {
		if rec := decode[rentalRecord](it.Value); rec != nil {
			req := &rentalRequest{spec: rec.Rent, version: it.Version, sent: true, answered: rec.Answered, machines: rec.Machines}
			s.requests[rec.Rent.Request] = req
			s.addRequestedMachines(req)
		}
	}
}

// run sends the releases of machines at every tick, and does all other scaling once a second.
func (s *autoscaler) run() {
	if s.c.now.Sub(s.releasesCheckedAt) >= tickEvery {
		s.releasesCheckedAt = s.c.now
		s.sendReleases()
	}
	if s.c.now.Sub(s.ranAt) < autoscaleInterval {
		return
	}
	s.ranAt = s.c.now
	for id, at := range s.released {
		if s.c.now.Sub(at) > releasedRetention {
			delete(s.released, id)
		}
	}
	s.schedulePlacement()
	s.refreshTypes()
	s.sendRentalRequests()
	s.refreshList()
	s.scaleIn()
	s.consolidate()
	if len(s.c.types) > 0 && s.c.now.Before(s.authority) {
		s.scaleOut()
	}
}

// scaleOut requests machines for pending work without room, and for the headroom that the service-level objectives
// call for.
func (s *autoscaler) scaleOut() {
	for _, req := range s.requests {
		if !req.answered {
			return // the machines of this request are not in the scheduler's view before it is answered
		}
	}
	machines := s.schedulerView(true)
	demands := append(s.backlog(), s.headroom()...)
	s.zones.excludeClosedZones(demands)
	wants := scheduler.PlanRentals(machines, demands, s.offers(), scheduler.RentalLimits{Kinds: maxKindsPerRound, Machines: maxMachinesPerRound})
	for _, w := range wants {
		for left := s.zones.limitRentals(w.Offer.Zone, w.Count); left > 0; left -= maxMachinesPerRequest {
			s.requestRental(wire.RentRequest{Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(left, maxMachinesPerRequest)})
		}
	}
}

// backlog lists the demands that may need a scale-out. Batch tasks are left out where running tasks end, before a machine
// requested now would be up, and free more room than newly arriving batch work will take in that time.
func (s *autoscaler) backlog() []*scheduler.Demand {
	used := s.teamUse()
	ds := append(append(s.spreading.withoutReserved(s.demands()), s.hintedDemands()...), s.soonReadyDemands()...)
	scheduler.Order(ds)
	freed := s.expectedFreedSize() - s.expectedArrivalSize()
	for _, d := range ds {
		if size := d.Measure.OfTask(d.TaskResources); d.Rank > 0 && !d.Service && size > 0 {
			n := scheduler.TasksWithin(freed, size, len(d.Tasks))
			freed -= float64(n) * size
			d.Tasks = d.Tasks[n:]
		}
		d.RoomInTeam = s.roomInTeam(d, used)
		d.Gang = false // request machines only for the missing tasks
		used[d.Team] = used[d.Team].Add(d.TaskResources, float64(min(len(d.Tasks), d.RoomInTeam)))
	}
	return append(ds, s.failureDetector.replacementDemands()...)
}

// expectedArrivalSize estimates the size of the batch work that arrives before a machine requested now would be up. The
// room that running tasks free is needed for this work as well as for the pending work.
func (s *autoscaler) expectedArrivalSize() float64 {
	size := 0.0
	for _, a := range s.arrivals {
		if p := s.peaks[a.class]; p != nil && p.spec.Kind != wire.KindService && s.c.now.Sub(a.at) < arrivalWindow {
			size += float64(a.tasks) * s.c.measure.OfTask(taskResources(&p.spec))
		}
	}
	return size * s.shortestBootS() / arrivalWindow.Seconds()
}

// shortestBootS is the boot time of the machine type that boots fastest, in seconds.
func (s *autoscaler) shortestBootS() float64 { return s.c.shortestBootForS(&wire.Job{}) }

// expectedFreedSize estimates the size of the room that running batch tasks free before a machine requested now would
// be up.
func (s *autoscaler) expectedFreedSize() float64 {
	boot := s.shortestBootS()
	freed := 0.0
	for _, j := range s.jobsByAcceptance {
		if j.spec.Kind == wire.KindService {
			continue
		}
		for _, a := range j.attempts {
			if a.phase == attemptRunning && j.spec.EstimateS-s.c.now.Sub(a.runningSince).Seconds() < boot {
				freed += s.c.measure.OfTask(taskResources(&j.spec))
			}
		}
	}
	return freed
}
