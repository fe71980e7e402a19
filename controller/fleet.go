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

	"pumicefront/config"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

const (
	fleetEvery   = time.Second
	typesEvery   = time.Minute
	noCapacity   = 15 * time.Second // how long a refusal is remembered
	peakHalfLife = 90.0             // seconds in which a class's past peak counts half
	leastCharge  = 58 * time.Second
	rentMost     = 8 // machines asked for in one round
)

// fleet is the leader's ledger of what it has asked of the cloud.
type fleet struct {
	calls     *rate.Limiter
	ranAt     time.Time
	listedAt  time.Time
	listing   bool
	typesAt   time.Time
	asking    bool
	hires     map[string]*hire
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
type hire struct {
	rent     wire.Rent
	recorded bool
	asking   bool
	machines []string
}

// peak is how much of a class was wanted lately.
type peak struct {
	spec  wire.Job
	tasks float64
	at    time.Time
}

func (f *fleet) init() {
	f.hires = map[string]*hire{}
	f.refused = map[offerKey]time.Time{}
	f.peaks = map[string]*peak{}
}

// restore takes up the rentals that earlier leaders have begun: asked again by
// their names they rent nothing twice.
func (f *fleet) restore(l *lead, items []wire.Item) {
	f.calls = rate.NewLimiter(rate.Limit(l.c.cfg.Facts.Cloud.RPS*0.7), max(1, int(l.c.cfg.Facts.Cloud.RPS)))
	for _, it := range items {
		if rec := decode[hireRecord](it.Value); rec != nil {
			f.hires[rec.Rent.Request] = &hire{rent: rec.Rent, recorded: true}
		}
	}
}

// runFleet looks after the machines once a second.
func (l *lead) runFleet() {
	f := &l.fleet
	if l.c.now.Sub(f.ranAt) < fleetEvery {
		return
	}
	f.ranAt = l.c.now
	l.wantPlacement()
	l.refreshTypes()
	l.refreshList()
	l.askHires()
	l.returnMachines()
	if len(l.c.types) > 0 && l.c.now.Before(l.authority) {
		l.rentMore()
	}
}

// call makes a call of the cloud if the rate allows.
func (l *lead) call(call CloudCall, fn func(CloudReply)) bool {
	if !l.fleet.calls.AllowN(l.c.now, 1) {
		return false
	}
	l.c.cloud(call, func(r CloudReply) {
		if l.c.lead == l {
			fn(r)
		}
	})
	return true
}

// refreshTypes learns the machine types and hands them to the other controllers.
func (l *lead) refreshTypes() {
	f := &l.fleet
	if f.asking || !f.typesAt.IsZero() && l.c.now.Sub(f.typesAt) < typesEvery {
		return
	}
	f.asking = l.call(CloudCall{Op: CloudTypes}, func(r CloudReply) {
		f.asking = false
		if r.Status != http.StatusOK {
			return
		}
		f.typesAt = l.c.now
		first := len(l.c.types) == 0
		l.c.setTypes(r.Types.Types)
		l.wantPlacement()
		if first || l.c.control.versions[typesKey] == 0 {
			txn := wire.Txn{If: []wire.Cond{l.mine()}, Then: []wire.Change{put(typesKey, r.Types)}}
			l.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(StateReply) {})
		}
	})
}

// refreshList reads the cloud's list. It is late and may go back: it only adds
// machines that we don't know and shows failed ones; it never proves one gone.
func (l *lead) refreshList() {
	f := &l.fleet
	every := config.Seconds(math.Max(3, l.c.cfg.Facts.Cloud.ListLagS/2))
	if f.listing || l.c.now.Sub(f.listedAt) < every {
		return
	}
	f.listedAt = l.c.now
	l.listPage("")
}

func (l *lead) listPage(after string) {
	f := &l.fleet
	f.listing = l.call(CloudCall{Op: CloudList, After: after}, func(r CloudReply) {
		f.listing = false
		if r.Status != http.StatusOK {
			return
		}
		for _, m := range r.Page.Machines {
			l.listed(m)
		}
		if n := len(r.Page.Machines); r.Page.More && n > 0 {
			l.listPage(r.Page.Machines[n-1].ID)
		}
	})
}

func (l *lead) listed(it wire.Machine) {
	if at, ok := l.released[it.ID]; ok {
		// Still listed long after its release: it came up late, or the release was lost.
		if l.c.now.Sub(at) > 4*config.Seconds(l.c.cfg.Facts.Cloud.ListLagS)+30*time.Second {
			delete(l.released, it.ID)
		}
		return
	}
	m, known := l.machines[it.ID]
	if !known {
		m = l.machine(it.ID)
		m.since = l.c.now.Add(-config.Seconds(it.AgeS))
		l.c.log(slog.LevelInfo, "machine found in the list", "machine", it.ID, "type", it.Type, "state", it.State)
	}
	if !m.up {
		m.typ, m.zone, m.spot, m.addr = it.Type, it.Zone, it.Spot, it.Addr
	}
	if it.State == wire.MachineFailed && (!m.up || l.silent(m)) {
		l.release(m, "failed")
	}
}

// askHires sends rental requests that are recorded and not answered.
func (l *lead) askHires() {
	f := &l.fleet
	for _, name := range slices.Sorted(maps.Keys(f.hires)) {
		h := f.hires[name]
		switch {
		case !h.recorded || h.asking:
		case h.machines == nil:
			h.asking = l.call(CloudCall{Op: CloudRent, Rent: h.rent}, func(r CloudReply) { l.hired(h, r) })
		case l.accounted(h):
			l.dropHire(h)
		}
	}
}

func (l *lead) hired(h *hire, r CloudReply) {
	h.asking = false
	k := offerKey{h.rent.Type, h.rent.Zone, h.rent.Spot}
	switch r.Status {
	case http.StatusOK:
		h.machines = append([]string{}, r.Names.Machines...)
		if len(h.machines) < h.rent.Count {
			l.fleet.refused[k] = l.c.now
		}
		for _, id := range h.machines {
			if _, gone := l.released[id]; gone {
				continue
			}
			m := l.machine(id)
			if !m.up {
				m.typ, m.zone, m.spot = h.rent.Type, h.rent.Zone, h.rent.Spot
			}
		}
		l.c.log(slog.LevelInfo, "rented", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "machines", len(h.machines))
	case http.StatusServiceUnavailable, http.StatusBadRequest:
		l.fleet.refused[k] = l.c.now
		l.fleet.ranAt = time.Time{} // another offer may do
		l.c.log(slog.LevelInfo, "rental refused", "request", h.rent.Request, "type", k.typ, "zone", k.zone, "spot", k.spot, "status", r.Status)
		l.dropHire(h)
	}
}

// accounted tells whether every machine of a request is up or released.
func (l *lead) accounted(h *hire) bool {
	for _, id := range h.machines {
		if m := l.machines[id]; m != nil && !m.up {
			return false
		}
	}
	return true
}

func (l *lead) dropHire(h *hire) {
	if !l.writes.AllowN(l.c.now, 1) {
		return
	}
	delete(l.fleet.hires, h.rent.Request)
	l.orphans = append(l.orphans, hirePrefix+h.rent.Request)
}

// rentMore rents for what has no room, and for the headroom that the aims ask for.
func (l *lead) rentMore() {
	f := &l.fleet
	for _, h := range f.hires {
		if h.machines == nil {
			return // not answered yet: its machines are not counted
		}
	}
	machines := l.view(true)
	demands := append(l.backlog(), l.headroom()...)
	wants := scheduler.Fleet(machines, demands, l.offers(), rentMost)
	for _, w := range wants {
		l.rent(wire.Rent{Type: w.Offer.Type, Zone: w.Offer.Zone, Spot: w.Offer.Spot, Count: min(w.Count, 50)})
	}
}

// backlog lists the demands that wait for room which has to be rented: batch work
// does not wait for a machine to boot where running tasks end sooner than that.
func (l *lead) backlog() []*scheduler.Demand {
	used := l.teamUse()
	ds := l.demands()
	scheduler.Order(ds)
	ending := l.endingSoon()
	for _, d := range ds {
		if d.Rank > 0 && !d.Service && d.Each.CPUs > 0 {
			n := min(int(ending/d.Each.CPUs), len(d.Tasks))
			ending -= float64(n) * d.Each.CPUs
			d.Tasks = d.Tasks[n:]
		}
		d.RoomInTeam = l.roomInTeam(d, used)
		d.Gang = false // rent only what is missing
		used[d.Team] = used[d.Team].Add(d.Each, float64(min(len(d.Tasks), d.RoomInTeam)))
	}
	return append(ds, l.doubtful()...)
}

// doubtful lists the services on machines that have gone silent: the machines to
// take them over boot while the proof that they are gone is waited for.
func (l *lead) doubtful() []*scheduler.Demand {
	var ds []*scheduler.Demand
	cut := l.cutZones()
	for _, m := range l.machineOrder() {
		suspected := l.c.now.Sub(m.reported) > l.patience() || cut[m.zone] && l.silent(m)
		if !m.up || m.leaseOut || !suspected {
			continue
		}
		for _, a := range m.sorted() {
			if d := demandOf(&a.job.spec); d.Service && !a.job.cancelled {
				d.Tasks, d.RoomInTeam = []int{a.task}, 1
				ds = append(ds, d)
			}
		}
	}
	return ds
}

// patience is how long a machine may be silent before it is suspected: a share of
// its lease, but never less than a report may take.
func (l *lead) patience() time.Duration {
	w := l.c.cfg.Facts.Workers
	return config.Seconds(math.Max(l.c.op.SilentShare*w.LeaseS, 1.25*w.ReportS+1))
}

// endingSoon estimates the cores that running batch tasks give back before a
// machine rented now would be up.
func (l *lead) endingSoon() float64 {
	boot := math.Inf(1)
	for _, t := range l.c.types {
		boot = math.Min(boot, t.BootS)
	}
	cores := 0.0
	for _, j := range l.order {
		if j.spec.Kind == wire.KindService {
			continue
		}
		for _, a := range j.attempts {
			if a.running && j.spec.EstimateS-l.c.now.Sub(a.since).Seconds() < boot {
				cores += j.spec.CPUs
			}
		}
	}
	return cores
}

// rent records a request under a name that is never used again, then makes it.
func (l *lead) rent(r wire.Rent) {
	f := &l.fleet
	f.seq++
	r.Request = fmt.Sprintf("r-%d-%d", l.token, f.seq)
	h := &hire{rent: r}
	f.hires[r.Request] = h
	key := hirePrefix + r.Request
	txn := wire.Txn{If: []wire.Cond{l.mine()}, Then: []wire.Change{put(key, hireRecord{r})}}
	l.c.state(StateCall{Op: OpTxn, Txn: txn, Timeout: leadCallTimeout}, func(reply StateReply) {
		if l.c.lead != l {
			return
		}
		if reply.Status != http.StatusOK {
			delete(f.hires, r.Request) // never asked for; a late record is asked for by the next leader
			return
		}
		h.recorded = true
		l.askHires()
	})
}

// offers lists what can be rented, less what was refused lately.
func (l *lead) offers() []scheduler.Offer {
	var out []scheduler.Offer
	for _, name := range slices.Sorted(maps.Keys(l.c.types)) {
		t := l.c.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				at, refused := l.fleet.refused[offerKey{name, zone, spot}]
				if refused && l.c.now.Sub(at) < noCapacity {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, scheduler.Offer{Type: name, Zone: zone, Spot: spot, Cap: capOf(t), Price: price})
			}
		}
	}
	return out
}

// headroom asks for room beyond what runs, class by class: the more, the longer
// a machine takes to boot against what the class's aims allow.
func (l *lead) headroom() []*scheduler.Demand {
	l.trackPeaks()
	var ds []*scheduler.Demand
	for _, class := range slices.Sorted(maps.Keys(l.fleet.peaks)) {
		p := l.fleet.peaks[class]
		n := int(math.Ceil(p.tasks * l.headroomShare(&p.spec)))
		if n == 0 {
			continue
		}
		d := demandOf(&p.spec)
		d.Job, d.Zone, d.OneZone, d.Spread, d.Gang = "headroom/"+class, "", false, false, false
		d.Total, d.RoomInTeam, d.AgeS = n, n, -1
		d.Tasks = make([]int, n)
		ds = append(ds, d)
	}
	return ds
}

func (l *lead) trackPeaks() {
	now := map[string]float64{}
	for _, j := range l.order {
		if j.cancelled {
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

// headroomShare weighs boot time against the tightest aim on starting: where a
// machine can be rented in time, no room need be kept.
func (l *lead) headroomShare(j *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range l.c.types {
		if len(j.Types) == 0 || slices.Contains(j.Types, t.Name) {
			boot = math.Min(boot, t.BootS)
		}
	}
	within := l.startAim(j)
	if math.IsInf(boot, 1) || math.IsInf(within, 1) {
		return 0
	}
	beyond := math.Max(0, boot/math.Max(within, 0.1)-1)
	return math.Min(l.c.op.HeadroomMost, l.c.op.Headroom*beyond*beyond)
}

// returnMachines gives back what never came up, what has gone silent and what
// is not needed.
func (l *lead) returnMachines() {
	f := &l.fleet
	if f.releasing {
		return
	}
	l.releaseLost()
	var names []string
	for _, m := range l.machineOrder() {
		if m.releasing && len(names) < 100 {
			names = append(names, m.id)
		}
	}
	if len(names) == 0 {
		if m := l.spare(); m != nil {
			l.release(m, "idle")
			names = append(names, m.id)
		} else {
			return
		}
	}
	f.releasing = l.call(CloudCall{Op: CloudRelease, Names: names}, func(r CloudReply) {
		f.releasing = false
		if r.Status != http.StatusOK {
			return
		}
		for _, id := range names {
			l.forgetMachine(id)
		}
	})
}

func (l *lead) release(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	l.c.log(slog.LevelInfo, "releasing machine", "machine", m.id, "why", why, "tasks", len(m.attempts))
}

// forgetMachine takes in that a machine and everything on it is gone.
func (l *lead) forgetMachine(id string) {
	m := l.machines[id]
	if m == nil {
		return
	}
	l.released[id] = l.c.now
	for _, a := range m.sorted() {
		l.gone(a, reduction.Reset, "machine released")
	}
	delete(l.machines, id)
}

// releaseLost decides between waiting a lease out and releasing the machine.
func (l *lead) releaseLost() {
	lease := config.Seconds(l.c.cfg.Facts.Workers.LeaseS)
	cut := l.cutZones()
	for _, m := range l.machineOrder() {
		silence := l.c.now.Sub(m.reported)
		switch {
		case m.releasing:
		case !m.up:
			if l.bootedTooLong(m) {
				l.release(m, "never came up")
			} else if l.unheard(m) && len(m.attempts) > 0 && l.canMove(m) {
				l.release(m, "silent since the election")
			}
		case faulty(m) && len(m.attempts) == 0:
			l.release(m, "faulty")
		case silence > 3*lease, silence > l.patience() && !cut[m.zone] && !cut[""] && l.canMove(m):
			l.release(m, "silent")
		case l.silent(m) && !m.calling:
			l.command(m, nil) // it may only be its reports that don't arrive
		}
	}
}

// unheard tells whether a machine that an earlier leader placed work on should
// have found us by now, when nearly all others have.
func (l *lead) unheard(m *machine) bool {
	found := l.patience() + config.Seconds(2*l.c.cfg.Facts.Workers.ReportS) + time.Second
	missing, all := 0, 0
	for _, o := range l.machines {
		if len(o.attempts) > 0 {
			all++
			if !o.up {
				missing++
			}
		}
	}
	return l.c.now.Sub(l.elected) > found && missing <= max(1, all/8)
}

// canMove tells whether what a machine runs has room elsewhere now. If not,
// releasing it early gains nothing over waiting its lease out.
func (l *lead) canMove(m *machine) bool {
	machines := l.view(false)
	for _, a := range m.sorted() {
		d := demandOf(&a.job.spec)
		d.Tasks, d.RoomInTeam = []int{a.task}, 1
		if d.Rank == 0 && len(scheduler.Place(machines, d)) == 0 {
			return false
		}
	}
	return true
}

// cutZones lists the zones of which most machines are silent, and "" where a
// quarter of all is: that speaks for a fault on the way to us, not on the
// machines. They are left their leases, and come back with what they ran.
func (l *lead) cutZones() map[string]bool {
	all, silent := map[string]int{}, map[string]int{}
	for _, m := range l.machines {
		if !m.up {
			continue
		}
		all[m.zone]++
		all[""]++
		if l.silent(m) {
			silent[m.zone]++
			silent[""]++
		}
	}
	cut := map[string]bool{"": silent[""] > max(1, all[""]/4)}
	for zone, n := range silent {
		if zone != "" && len(all) > 2 {
			cut[zone] = n > 1 && 2*n > all[zone]
		}
	}
	return cut
}

// faulty tells whether unlike jobs have failed on a machine and none has finished.
func faulty(m *machine) bool { return len(m.faults) >= 2 }

func (l *lead) bootedTooLong(m *machine) bool {
	boot := 60.0
	if t, ok := l.c.types[m.typ]; ok {
		boot = t.BootS
	}
	patience := config.Seconds(boot*2.5) + 10*time.Second
	if l.c.now.Sub(l.elected) < config.Seconds(l.c.cfg.Facts.Workers.LeaseS) {
		return false // it may be up and not have found us yet
	}
	if m.typ == "" { // known only from an earlier leader's placements
		return l.c.now.After(l.leaseEnd(m)) && l.c.now.Sub(l.elected) > 3*config.Seconds(l.c.cfg.Facts.Cloud.ListLagS)
	}
	return l.c.now.Sub(m.since) > patience
}

// spare finds one idle machine whose room is not part of the headroom.
func (l *lead) spare() *machine {
	idle := config.Seconds(l.c.op.IdleS)
	if len(l.c.types) == 0 {
		return nil
	}
	var best *machine
	for _, m := range l.machineOrder() {
		// A machine is charged for a minute at least: before that nothing is saved.
		if l.c.now.Sub(m.since) < leastCharge || !m.up || len(m.attempts)+len(m.strays) > 0 || l.c.now.Sub(m.idle) < idle || m.releasing || l.silent(m) {
			continue
		}
		if best == nil || l.price(m) > l.price(best) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	without := func(s *scheduler.Machine) bool { return s.ID == best.id }
	if l.holds(slices.DeleteFunc(l.view(true), without)) < l.holds(l.view(true)) {
		return nil
	}
	return best
}

// holds counts the tasks, waiting and of the headroom, that machines have room for.
func (l *lead) holds(machines []*scheduler.Machine) int {
	demands := append(l.backlog(), l.headroom()...)
	scheduler.Order(demands)
	n := 0
	for _, d := range demands {
		n += len(scheduler.Place(machines, d))
	}
	return n
}

func (l *lead) price(m *machine) float64 {
	t := l.c.types[m.typ]
	if m.spot {
		return t.SpotPrice
	}
	return t.Price
}
