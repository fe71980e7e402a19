package controller

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

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

type offerKey struct {
	typ, zone string
	spot      bool
}

// hire is a rental request whose machines are not all accounted for.
type rental struct {
	rent     wire.Rent
	since    time.Time
	version  uint64 // of its record; 0: not written yet
	asking   bool
	asked    bool // by us or an earlier leader: it may have rented
	answered bool
	machines []string
}

// peak is how much of a class was wanted lately.
type peak struct {
	spec  wire.Job
	tasks float64
	at    time.Time
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

// askHires sends rental requests that are recorded and not answered. One that was
// never asked for is dropped when its like has been refused meanwhile: the calls are
// few, and others need them.
func (l *leader) sendRentals() {
	f := &l.fleet
	for _, name := range slices.Sorted(maps.Keys(f.rentals)) {
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

// expect takes the machines of a request into the ledger.
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

// recordHire writes what is known of a request, over the record that we know of.
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

// accounted tells whether every machine of a request is up or released.
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
	wants := scheduler.Fleet(machines, demands, l.offers(), rentMost)
	for _, w := range wants {
		for left := w.Count; left > 0; left -= rentCall {
			l.rent(wire.Rent{Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(left, rentCall)})
		}
	}
}

// backlog lists the demands that wait for room which has to be rented: batch work
// does not wait for a machine to boot where running tasks end sooner than that, and
// leave room for what comes meanwhile.
func (l *leader) backlog() []*scheduler.Demand {
	used := l.teamUse()
	ds := append(append(l.demands(), l.hintedDemands()...), l.soonReady()...)
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

// comingSoon estimates the size of the batch work that comes before a machine rented
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

// endingSoon estimates the size of what running batch tasks give back before a
// machine rented now would be up.
func (l *leader) expectedRelease() float64 {
	boot := l.shortestBoot()
	room := 0.0
	for _, j := range l.order {
		if j.spec.Kind == wire.KindService {
			continue
		}
		for _, a := range j.attempts {
			if a.running && j.spec.EstimateS-l.c.now.Sub(a.since).Seconds() < boot {
				room += l.c.measure.Of(jobEach(&j.spec))
			}
		}
	}
	return room
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
				if refused && l.c.now.Sub(at) < noCapacity {
					continue
				}
				out = append(out, scheduler.Offer{Type: name, Zone: zone, Spot: spot, Cap: capOf(t), Price: priceOf(t, spot)})
			}
		}
	}
	return out
}

// headroom asks for room beyond what runs, class by class: the more, the longer
// a machine takes to boot against what the class's aims allow, but no more than
// may be missing before a machine that is rented now is up.
func (l *leader) headroom() []*scheduler.Demand {
	l.trackPeaks()
	var ds []*scheduler.Demand
	for _, class := range slices.Sorted(maps.Keys(l.fleet.peaks)) {
		p := l.fleet.peaks[class]
		n := int(math.Ceil(math.Min(p.tasks*l.headroomShare(&p.spec), l.surge(&p.spec))))
		if n == 0 {
			continue
		}
		d := l.c.demandOf(&p.spec)
		d.Job, d.Zone, d.OneZone, d.Spread, d.Gang = "headroom/"+class, "", false, false, false
		d.Total, d.RoomInTeam, d.AgeS, d.OtherClasses = n, n, -1, l.otherClasses(class)
		d.Tasks = make([]int, n)
		ds = append(ds, d)
	}
	return ds
}

func (l *leader) trackPeaks() {
	now := map[string]float64{}
	for _, j := range l.order {
		if j.cancelled || l.blocked(j) {
			continue
		}
		class := j.spec.Class
		now[class] += float64(j.state.Count(reduction.Pending) + j.state.Count(reduction.Running))
		if l.fleet.peaks[class] == nil {
			l.fleet.peaks[class] = &peak{spec: j.spec, at: l.c.now}
		}
	}
	for class, p := range l.fleet.peaks {
		p.tasks *= math.Exp2(-l.c.now.Sub(p.at).Seconds() / peakHalfLife)
		p.tasks, p.at = math.Max(p.tasks, now[class]), l.c.now
		if p.tasks < 0.5 {
			delete(l.fleet.peaks, class)
		}
	}
}

// surgeWindow is over how long arrivals are counted.
const surgeWindow = 90 * time.Second

// arrival is a job that came lately.
type arrival struct {
	class string
	tasks int
	at    time.Time
}

// arrived notes a job that is ready.
func (l *leader) arrived(j *job) {
	l.arrivals = append(l.arrivals, arrival{j.spec.Class, j.spec.Tasks, j.ready})
}

// surge is by how many tasks the arrivals of a class may exceed their mean while
// a machine boots. Jobs come one by one and bring all their tasks at once, so the
// variance is that of the sum of their sizes: many small jobs need far less room
// in proportion than few large ones.
func (l *leader) surge(j *wire.Job) float64 {
	l.arrivals = slices.DeleteFunc(l.arrivals, func(a arrival) bool { return l.c.now.Sub(a.at) > surgeWindow })
	boot, squares := 0.0, 0.0
	for _, t := range l.c.types {
		boot = math.Max(boot, t.BootS)
	}
	for _, a := range l.arrivals {
		if a.class == j.Class {
			squares += float64(a.tasks) * float64(a.tasks)
		}
	}
	deviations := l.c.op.Surge
	if j.Kind != wire.KindService {
		deviations = l.c.op.SurgeBatch
	}
	return deviations * math.Sqrt(squares*boot/surgeWindow.Seconds())
}

// typesFor lists the machine types that a job may use.
func (l *leader) typesFor(j *wire.Job) []wire.MachineType {
	var ts []wire.MachineType
	for _, t := range l.c.types {
		if len(j.Types) == 0 || slices.Contains(j.Types, t.Name) {
			ts = append(ts, t)
		}
	}
	return ts
}

// soonestBoot is how many seconds a machine that a job may use takes to boot at least.
func (l *leader) soonestBoot(j *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range l.typesFor(j) {
		boot = math.Min(boot, t.BootS)
	}
	return boot
}

// headroomShare weighs boot time against the tightest aim on starting: where a
// machine can be rented in time, no room need be kept.
func (l *leader) headroomShare(j *wire.Job) float64 {
	boot := l.soonestBoot(j)
	within := l.startAim(j)
	if math.IsInf(boot, 1) || math.IsInf(within, 1) {
		return 0
	}
	beyond := math.Max(0, boot/math.Max(within, 0.1)-1)
	return math.Min(l.c.op.HeadroomMost, l.c.op.Headroom*beyond*beyond)
}
