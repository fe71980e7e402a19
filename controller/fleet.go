package controller

import (
	"time"

	"golang.org/x/time/rate"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The fleet: how many machines of which kind the waiting work needs.

const (
	fleetEvery   = time.Second
	typesEvery   = time.Minute
	releasedFor  = 10 * time.Minute // how long a released machine is remembered
	noCapacity   = 15 * time.Second // how long a refusal is remembered
	peakHalfLife = 90.0             // seconds in which a class's past peak counts half
	leastCharge  = 50 * time.Second // a minute is charged at least; a call takes its time
	returnMost   = 4                // unneeded machines returned in one round,
	returnShare  = 16               // or this part of all if that is more
	rentCall     = 50               // machines that one request may ask for
	rentMost     = 8                // requests for machines made in one round
)

// fleet is the leader's ledger of what it has asked of the cloud.
type fleet struct {
	calls     *rate.Limiter
	ranAt     time.Time
	lookedAt  time.Time
	listedAt  time.Time
	listing   bool
	typesAt   time.Time
	asking    bool
	rentals   map[string]*rental
	seq       int
	refused   map[offerKey]time.Time
	peaks     map[string]*peak
	releasing bool
}

func (f *fleet) init() {
	f.rentals = map[string]*rental{}
	f.refused = map[offerKey]time.Time{}
	f.peaks = map[string]*peak{}
}

// restore takes up the rentals that earlier leaders have begun. Those without an
// answer on record are asked again: by their names they rent nothing twice.
func (f *fleet) restore(l *leader, items []wire.Item) {
	f.calls = rate.NewLimiter(rate.Limit(l.c.cfg.Facts.Cloud.RPS*0.9), max(1, int(l.c.cfg.Facts.Cloud.RPS)))
	for _, it := range items {
		if rec := decode[rentalRecord](it.Value); rec != nil {
			h := &rental{rent: rec.Rent, version: it.Version, asked: true, answered: rec.Answered, machines: rec.Machines}
			f.rentals[rec.Rent.Request] = h
			l.addRented(h)
		}
	}
}

// runFleet looks after silent machines at every tick and after the rest once a
// second.
func (l *leader) runFleet() {
	f := &l.fleet
	if l.c.now.Sub(f.lookedAt) >= tickEvery {
		f.lookedAt = l.c.now
		l.returnMachines()
	}
	if l.c.now.Sub(f.ranAt) < fleetEvery {
		return
	}
	f.ranAt = l.c.now
	for id, at := range l.released {
		if l.c.now.Sub(at) > releasedFor {
			delete(l.released, id)
		}
	}
	l.wantPlacement()
	l.refreshTypes()
	l.sendRentals()
	l.refreshList()
	l.returnSpare()
	l.consolidate()
	if len(l.c.types) > 0 && l.c.now.Before(l.authority) {
		l.rentMore()
	}
}

// rentMore rents for what has no room, and for the headroom that the aims ask for.
func (l *leader) rentMore() {
	f := &l.fleet
	for _, h := range f.rentals {
		if !h.answered {
			return // not answered yet: its machines are not counted
		}
	}
	machines := l.view(true)
	demands := append(l.backlog(), l.headroom()...)
	l.zones.closeZones(demands)
	wants := scheduler.Fleet(machines, demands, l.offers(), rentMost)
	for _, w := range wants {
		for left := l.zones.rentable(w.Offer.Zone, w.Count); left > 0; left -= rentCall {
			l.rent(wire.Rent{Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(left, rentCall)})
		}
	}
}

// backlog lists the demands that wait for room which has to be rented: batch work
// does not wait for a machine to boot where running tasks end sooner than that, and
// leave room for what comes meanwhile.
func (l *leader) backlog() []*scheduler.Demand {
	used := l.teamUse()
	ds := append(append(l.spreading.withoutHeld(l.demands()), l.hintedDemands()...), l.soonReady()...)
	scheduler.Order(ds)
	ending := l.expectedRelease() - l.expectedArrivals()
	for _, d := range ds {
		if size := d.Measure.Of(d.Each); d.Rank > 0 && !d.Service && size > 0 && ending > 0 {
			n := min(int(ending/size), len(d.Tasks))
			ending -= float64(n) * size
			d.Tasks = d.Tasks[n:]
		}
		d.RoomInTeam = l.roomInTeam(d, used)
		d.Gang = false // rent only what is missing
		used[d.Team] = used[d.Team].Add(d.Each, float64(min(len(d.Tasks), d.RoomInTeam)))
	}
	return append(ds, l.replacements()...)
}

// expectedArrivals estimates the size of the batch work that comes before a machine rented
// now would be up: it needs the room that comes free as much as what waits already.
func (l *leader) expectedArrivals() float64 {
	size := 0.0
	for _, a := range l.arrivals {
		if p := l.fleet.peaks[a.class]; p != nil && p.spec.Kind != wire.KindService && l.c.now.Sub(a.at) < surgeWindow {
			size += float64(a.tasks) * l.c.measure.Of(jobEach(&p.spec))
		}
	}
	return size * l.shortestBoot() / surgeWindow.Seconds()
}

// shortestBoot is how many seconds any machine takes to boot at least.
func (l *leader) shortestBoot() float64 { return l.soonestBoot(&wire.Job{}) }

// expectedRelease estimates the size of what running batch tasks give back before a
// machine rented now would be up.
func (l *leader) expectedRelease() float64 {
	boot := l.shortestBoot()
	room := 0.0
	for _, j := range l.order {
		if j.spec.Kind == wire.KindService {
			continue
		}
		for _, a := range j.attempts {
			if a.phase == attemptRunning && j.spec.EstimateS-l.c.now.Sub(a.since).Seconds() < boot {
				room += l.c.measure.Of(jobEach(&j.spec))
			}
		}
	}
	return room
}
