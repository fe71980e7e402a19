package controller

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Autoscaling: how many machines of which kind the waiting work needs, and when to scale out and in.

const (
	autoscaleInterval   = time.Second
	typesInterval       = time.Minute
	releasedFor         = 10 * time.Minute // how long a released machine is remembered
	noCapacity          = 15 * time.Second // how long a refusal is remembered
	peakHalfLife        = 90.0             // seconds in which a class's past peak counts half
	leastCharge         = 50 * time.Second // a minute is charged at least; a call takes its time
	scaleInMost         = 4                // unneeded machines released in one round,
	scaleInShare        = 16               // or this part of all if that is more
	instancesPerRequest = 50               // machines that one request may ask for, as the cloud allows
	requestsPerRound    = 8                // requests for machines made in one round
	releaseNamesMost    = 100              // machines that one release call may name, as the cloud allows
	cloudRateShare      = 0.9              // of the cloud's rate that calls use: above it the cloud answers 429
)

// autoscaler is the leader's part that scales the fleet out and in: it keeps the ledger of what
// it has asked of the cloud, requests instances for what waits and for headroom, and releases what
// is idle.
type autoscaler struct {
	*leader
	calls           *rate.Limiter // calls of the cloud, within its rate
	ranAt           time.Time     // last round of scale-out and scale-in, see run
	lookedAt        time.Time     // last look for machines to release
	listedAt        time.Time     // last read of the cloud's list
	listInFlight    bool          // a page of the cloud's list is asked for
	typesAt         time.Time     // last answer with the machine types
	typesInFlight   bool          // the machine types are asked for
	requests        map[string]*instanceRequest
	requestSeq      int // of the last request name of this leader
	refused         map[offerKey]time.Time
	peaks           map[string]*peak
	releaseInFlight bool      // a release call is under way
	consolidatedAt  time.Time // see consolidate
	demandHints     map[string]demandHint
	arrivals        []arrival
}

func newAutoscaler(l *leader) *autoscaler {
	return &autoscaler{
		leader:      l,
		requests:    map[string]*instanceRequest{},
		refused:     map[offerKey]time.Time{},
		peaks:       map[string]*peak{},
		demandHints: map[string]demandHint{},
	}
}

// restore takes up the instance requests that earlier leaders have begun. Those without an
// answer on record are sent again: their names make them idempotent.
func (s *autoscaler) restore(items []wire.Item) {
	s.calls = rate.NewLimiter(rate.Limit(s.c.cfg.Facts.Cloud.RPS*cloudRateShare), max(1, int(s.c.cfg.Facts.Cloud.RPS)))
	for _, it := range items {
		if rec := decode[rentalRecord](it.Value); rec != nil {
			req := &instanceRequest{spec: rec.Rent, version: it.Version, asked: true, answered: rec.Answered, machines: rec.Machines}
			s.requests[rec.Rent.Request] = req
			s.addRequested(req)
		}
	}
}

// run looks after silent machines at every tick and after the rest once a
// second.
func (s *autoscaler) run() {
	if s.c.now.Sub(s.lookedAt) >= tickEvery {
		s.lookedAt = s.c.now
		s.sendReleases()
	}
	if s.c.now.Sub(s.ranAt) < autoscaleInterval {
		return
	}
	s.ranAt = s.c.now
	for id, at := range s.released {
		if s.c.now.Sub(at) > releasedFor {
			delete(s.released, id)
		}
	}
	s.wantPlacement()
	s.refreshTypes()
	s.sendInstanceRequests()
	s.refreshList()
	s.scaleIn()
	s.consolidate()
	if len(s.c.types) > 0 && s.c.now.Before(s.authority) {
		s.scaleOut()
	}
}

// scaleOut requests instances for what has no room, and for the headroom that the service-level
// objectives ask for.
func (s *autoscaler) scaleOut() {
	for _, req := range s.requests {
		if !req.answered {
			return // not answered yet: its machines are not counted
		}
	}
	machines := s.view(true)
	demands := append(s.backlog(), s.headroom()...)
	s.zones.closeZones(demands)
	wants := scheduler.Fleet(machines, demands, s.offers(), requestsPerRound)
	for _, w := range wants {
		for left := s.zones.rentable(w.Offer.Zone, w.Count); left > 0; left -= instancesPerRequest {
			s.requestInstances(wire.Rent{Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(left, instancesPerRequest)})
		}
	}
}

// backlog lists the demands that wait for room which needs a scale-out: batch work
// does not wait for a machine to boot where running tasks end sooner than that, and
// leave room for what comes meanwhile.
func (s *autoscaler) backlog() []*scheduler.Demand {
	used := s.teamUse()
	ds := append(append(s.spreading.withoutHeld(s.demands()), s.hintedDemands()...), s.soonReady()...)
	scheduler.Order(ds)
	ending := s.expectedRelease() - s.expectedArrivals()
	for _, d := range ds {
		if size := d.Measure.Of(d.Each); d.Rank > 0 && !d.Service && size > 0 && ending > 0 {
			n := min(int(ending/size), len(d.Tasks))
			ending -= float64(n) * size
			d.Tasks = d.Tasks[n:]
		}
		d.RoomInTeam = s.roomInTeam(d, used)
		d.Gang = false // request only what is missing
		used[d.Team] = used[d.Team].Add(d.Each, float64(min(len(d.Tasks), d.RoomInTeam)))
	}
	return append(ds, s.failures.replacements()...)
}

// expectedArrivals estimates the size of the batch work that comes before a machine requested
// now would be up: it needs the room that comes free as much as what waits already.
func (s *autoscaler) expectedArrivals() float64 {
	size := 0.0
	for _, a := range s.arrivals {
		if p := s.peaks[a.class]; p != nil && p.spec.Kind != wire.KindService && s.c.now.Sub(a.at) < surgeWindow {
			size += float64(a.tasks) * s.c.measure.Of(jobEach(&p.spec))
		}
	}
	return size * s.shortestBoot() / surgeWindow.Seconds()
}

// shortestBoot is how many seconds any machine takes to boot at least.
func (s *autoscaler) shortestBoot() float64 { return s.c.soonestBoot(&wire.Job{}) }

// expectedRelease estimates the size of what running batch tasks give back before a
// machine requested now would be up.
func (s *autoscaler) expectedRelease() float64 {
	boot := s.shortestBoot()
	room := 0.0
	for _, j := range s.order {
		if j.spec.Kind == wire.KindService {
			continue
		}
		for _, a := range j.attempts {
			if a.phase == attemptRunning && j.spec.EstimateS-s.c.now.Sub(a.since).Seconds() < boot {
				room += s.c.measure.Of(jobEach(&j.spec))
			}
		}
	}
	return room
}
