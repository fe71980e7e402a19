package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// roundPause gathers what happens close together into one round of placement.
const roundPause = 5 * time.Millisecond

// roundPerMachine is added to that: a round's cost grows with the machines, and
// the processor is also there for the reports of all of them.
const roundPerMachine = 40 * time.Microsecond

// hintAllEvery is how often the other controllers are told of all machines: they
// forget them when they end.
const hintAllEvery = 10 * time.Second

// wantPlacement asks for a round soon.
func (l *leader) wantPlacement() {
	if l.placeAt.IsZero() {
		pause := roundPause + time.Duration(len(l.machines))*roundPerMachine
		l.placeAt = l.c.now.Add(pause)
		l.c.after(pause, func() {})
	}
}

// place runs a round: it classifies every job, orders what is on the frontiers,
// and places it class by class.
func (l *leader) place() {
	if l.placeAt.IsZero() || l.c.now.Before(l.placeAt) || len(l.c.types) == 0 || !l.c.now.Before(l.authority) {
		return
	}
	l.placeAt = time.Time{}
	demands := l.demands()
	if len(demands) == 0 {
		return
	}
	all := l.view(true)
	machines := slices.DeleteFunc(slices.Clone(all), func(m *scheduler.Machine) bool { return m.Virtual })
	demands = scheduler.OrderWithAging(demands, l.reserve(machines))
	used := l.teamUse()
	excess := l.excess()
	full := map[classKey]bool{}
	kept := false
	for _, d := range demands {
		if d.Rank > 0 && !d.Service && !kept {
			l.reserveForHinted(machines)
			kept = true
		}
		d.RoomInTeam = l.roomInTeam(d, used)
		key := keyOf(d)
		if d.RoomInTeam == 0 || full[key] {
			continue
		}
		want := min(len(d.Tasks), d.RoomInTeam)
		placed := 0
		if d.WaitForBooting {
			placed = l.placeSome(all, d) // it had better wait for a machine that suits
		}
		if d.SpreadImages && d.Service && d.Rank == 0 {
			placed += l.placeCached(machines, d, want-placed, excess)
		}
		placed += l.placeSome(machines, d)
		used[d.Team] = used[d.Team].Add(d.Each, float64(placed))
		if placed < want {
			// No machine takes one more of these: that is decided for the class.
			full[key] = len(d.Avoid) == 0 && !d.OneZone && !d.Spread
			l.preempt(machines, d, want-placed, excess)
			if d.Aged && placed == 0 {
				scheduler.ReserveFor(machines, d)
			}
		}
	}
}

// placeSome places what has room, takes it off the demand, and counts it. What is
// meant for a machine that still boots waits for it.
func (l *leader) placeSome(machines []*scheduler.Machine, d *scheduler.Demand) int {
	placed := scheduler.Place(machines, d)
	n := len(placed)
	l.assign(d, slices.DeleteFunc(placed, func(p scheduler.Assignment) bool { return p.Machine.Virtual }))
	d.Tasks, d.RoomInTeam = d.Tasks[n:], d.RoomInTeam-n
	return n
}

// placeCached places a service, whose image takes longer to fetch than its aim
// allows, where the image is, and makes room there before it goes elsewhere. It
// counts what is placed or has room on its way.
func (l *leader) placeCached(machines []*scheduler.Machine, d *scheduler.Demand, want int, excess scheduler.Excess) int {
	d.CachedOnly = true
	placed := l.placeSome(machines, d)
	coming := 0
	if placed < want && l.cachedSomewhere(machines, d) {
		coming = l.preempt(machines, d, want-placed, excess)
	}
	d.CachedOnly = false
	d.Tasks, d.RoomInTeam = d.Tasks[coming:], d.RoomInTeam-coming
	return placed + coming
}

func (l *leader) cachedSomewhere(machines []*scheduler.Machine, d *scheduler.Demand) bool {
	return slices.ContainsFunc(machines, func(m *scheduler.Machine) bool { return m.Images[d.Image] })
}

// classKey tells like demands: one that finds no room speaks for all.
type classKey struct {
	class, team, zone, types string
	each                     scheduler.Resources
	spot                     bool
	rank                     int
	within                   bool
}

func keyOf(d *scheduler.Demand) classKey {
	types := ""
	for _, t := range d.Types {
		types += t + " "
	}
	return classKey{d.Class, d.Team, d.Zone, types, d.Each, d.Spot, d.Rank, d.WithinGuarantee}
}

// demands lists the frontiers of all jobs.
func (l *leader) demands() []*scheduler.Demand {
	var ds []*scheduler.Demand
	l.assignGuarantees()
	for _, j := range l.order {
		if j.cancelled || j.state.Count(reduction.Pending) == 0 || l.blocked(j) {
			continue
		}
		verdict, frontier := reduction.Classify(j.graph, j.state)
		if verdict != reduction.Progressing || j.spec.Kind == wire.KindGang && len(j.attempts) > 0 {
			continue
		}
		d := l.c.demandOf(&j.spec)
		d.Rank = j.terms.Rank
		for _, t := range frontier {
			if j.attempts[t] == nil && !l.c.now.Before(j.retryAt[t]) {
				d.Tasks = append(d.Tasks, t)
			}
		}
		if len(d.Tasks) == 0 {
			continue
		}
		if d.SpreadImages = l.fetchMatters(&j.spec); d.SpreadImages || d.Service {
			d.OtherClasses = l.otherClasses(d.Class)
		}
		d.WaitForBooting = d.Service && !j.begun && l.c.now.Sub(j.ready).Seconds() > l.startAim(&j.spec)
		d.WithinGuarantee, d.AgeS, d.Avoid = !j.terms.Borrowed, l.c.now.Sub(j.ready).Seconds(), j.avoid
		d.Late, d.WorkS = l.missed(j), l.workLeft(j)
		d.Begun, d.Aged = j.begun, l.waited(j)
		for _, a := range j.attempts {
			d.InZone[a.machine.zone]++
		}
		ds = append(ds, d)
	}
	return ds
}

// Waiting wins over every other order after these ages. The largest jobs must
// begin within four minutes, and smaller ones never stop coming.
const (
	beginAfter = 80 * time.Second  // nothing of the job has run
	serveAfter = 120 * time.Second // not all of it has
)

// reserveShare is the part of all machines that may be taken by what has waited.
const reserveShare = 1.0 / 8

func (l *leader) waited(j *job) bool {
	age := l.c.now.Sub(j.ready)
	return !j.begun && age > beginAfter || age > serveAfter
}

// reserve is the size of what is left of that.
func (l *leader) reserve(machines []*scheduler.Machine) float64 {
	left := 0.0
	for _, m := range machines {
		left += l.c.measure.Of(m.Cap) * reserveShare
	}
	for _, j := range l.order {
		if l.c.now.Sub(j.ready) > serveAfter && j.spec.Kind != wire.KindService {
			left -= float64(len(j.attempts)) * l.c.measure.Of(jobEach(&j.spec))
		}
	}
	return max(left, 0)
}

// missed counts the aims on finishing that a job can't meet any more. One that has
// waited out several times the last of them, or has lost work to a failure, is
// not passed over.
func (l *leader) missed(j *job) int {
	n, over := 0, 0.0 // by how many times the age exceeds the last of them
	for _, o := range l.c.cfg.Facts.Objectives {
		within, age := o.WithinS, l.c.now.Sub(j.ready).Seconds()
		switch {
		case o.Kind == "deadline" && j.due.last != nil && o.Class == j.due.last.Class:
			within, age = j.due.within(o.Times), l.c.now.Sub(j.due.from).Seconds()
		case o.Kind != "finished" || o.Class != j.spec.Class:
			continue
		}
		if age+j.spec.EstimateS > within {
			n++
		}
		if within > 0 && (over == 0 || age/within < over) {
			over = age / within
		}
	}
	if j.disrupted || over > 4 {
		return 0
	}
	return n
}

// workLeft estimates what is left of a job: the sizes of its tasks times seconds.
func (l *leader) workLeft(j *job) float64 {
	return float64(j.spec.Tasks-j.state.Count(reduction.Completed)) * l.c.measure.Of(jobEach(&j.spec)) * j.spec.EstimateS
}

// within tells whether a job fits into its team's guarantee together with the
// team's jobs that come before it, and adds it to those.
func (l *leader) within(j *job, earlier map[string]scheduler.Resources) bool {
	left := j.spec.Tasks - j.state.Count(reduction.Completed)
	sum := earlier[j.spec.Team].Add(jobEach(&j.spec), float64(left))
	earlier[j.spec.Team] = sum
	return l.c.quotas[j.spec.Team].guarantee.Fits(sum) > 0
}

// fetchMatters tells whether fetching the image alone would miss the class's
// tightest aim on starting: then its image had better be in many places.
func (l *leader) fetchMatters(j *wire.Job) bool {
	return l.slowestFetch(j) > l.startAim(j)
}

// slowestFetch is how many seconds a job's image takes where it takes longest.
func (l *leader) slowestFetch(j *wire.Job) float64 {
	longest := 0.0
	for _, t := range l.typesFor(j) {
		if t.FetchGBps > 0 {
			longest = math.Max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return longest
}

// guaranteeAim is how soon work within a guarantee should start.
func (l *leader) guaranteeAim() float64 {
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "guarantee" {
			return o.WithinS
		}
	}
	return 0
}

// otherClasses lists what a task of each other class of late takes.
func (l *leader) otherClasses(class string) []scheduler.Resources {
	var rs []scheduler.Resources
	for _, name := range slices.Sorted(maps.Keys(l.fleet.peaks)) {
		if name != class {
			rs = append(rs, jobEach(&l.fleet.peaks[name].spec))
		}
	}
	return rs
}

// startAim is the tightest aim on starting that holds for a job.
func (l *leader) startAim(j *wire.Job) float64 {
	within := math.Inf(1)
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Class || o.Kind == "guarantee" {
			within = math.Min(within, o.WithinS)
		}
	}
	return within
}

// teamUse counts every attempt not proved gone.
func (l *leader) teamUse() map[string]scheduler.Resources {
	used := map[string]scheduler.Resources{}
	for _, j := range l.order {
		used[j.spec.Team] = used[j.spec.Team].Add(jobEach(&j.spec), float64(len(j.attempts)))
	}
	return used
}

// excess is what each team uses beyond its guarantee, less what is being stopped.
func (l *leader) excess() scheduler.Excess {
	e := scheduler.Excess{}
	for team, q := range l.c.quotas {
		e[team] = q.excess()
	}
	for _, j := range l.order {
		for _, a := range j.attempts {
			if !a.stopping {
				e.Use(j.terms)
			}
		}
	}
	return e
}

func (l *leader) roomInTeam(d *scheduler.Demand, used map[string]scheduler.Resources) int {
	return l.c.quotas[d.Team].limit.Add(used[d.Team], -1).Fits(d.Each)
}

// usable tells whether a machine may be given new work.
func (l *leader) usable(m *machine) bool {
	// Where commands to many get no answer, the fault is ours, and reports carry them.
	hears := m.unansweredSince.IsZero() || l.partitioned[""]
	return m.up && !m.releasing && !m.consolidating && !m.notice && !m.leaseOut && !l.unresponsive(m) && hears
}

// view gives the scheduler its picture of the machines; with booting, those that
// are not up yet count too. The picture may be changed; it lasts until the next
// view. Only machines that have changed since are drawn anew.
func (l *leader) view(booting bool) []*scheduler.Machine {
	l.assignGuarantees()
	if cap(l.scratch) < len(l.fleetOrder) {
		l.scratch = make([]scheduler.Machine, 0, len(l.fleetOrder)+len(l.fleetOrder)/4)
	}
	l.scratch = l.scratch[:0]
	ms := make([]*scheduler.Machine, 0, len(l.fleetOrder))
	for _, m := range l.fleetOrder {
		t, ok := l.c.types[m.typ]
		if !ok || !l.usable(m) && !(booting && !m.up && !m.releasing && !l.overdue(m, t)) {
			continue
		}
		if m.snapshot == nil {
			m.snapshot = l.takeSnapshot(m, t)
		}
		l.scratch = append(l.scratch, *m.snapshot)
		ms = append(ms, &l.scratch[len(l.scratch)-1])
	}
	return ms
}

// draw makes the scheduler's picture of one machine.
func (l *leader) takeSnapshot(m *machine, t wire.MachineType) *scheduler.Machine {
	s := &scheduler.Machine{
		ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Part: m.part,
		Cap: capOf(t), Free: capOf(t), Images: m.images, Virtual: !m.up,
	}
	if faulty(m) {
		s.Penalty = 1
	}
	for k := range m.unknownAttempts {
		id, _, _ := wire.SplitTask(k.task)
		if j := l.jobs[id]; j != nil {
			s.Free = s.Free.Add(jobEach(&j.spec), -1)
		} else {
			s.Free = scheduler.Resources{} // nobody knows what it takes
		}
	}
	for _, a := range m.list {
		l.occupy(s, a)
	}
	return s
}

// overdue tells whether a booting machine is late, so that another should be
// rented in its place: a few never come up, and waiting for proof takes long.
func (l *leader) overdue(m *machine, t wire.MachineType) bool {
	return l.c.now.Sub(m.since) > config.Seconds(t.BootS*1.6)+2*time.Second
}

func (l *leader) occupy(s *scheduler.Machine, a *attempt) {
	each := a.job.terms.Each
	s.Free = s.Free.Add(each, -1)
	if a.stopping {
		s.Soon = s.Soon.Add(each, 1)
		return
	}
	if !a.seen {
		return // may be anywhere between here and there: not worth a stop
	}
	since := time.Time{}
	if a.running {
		since = a.since
	}
	s.Tasks = append(s.Tasks, scheduler.Victim{Terms: a.job.terms, Task: a.task, Since: since, PlacedByAge: a.placedByAge})
}

// sharesEvery is how often the guarantees are dealt out anew where no job has come.
const guaranteesEvery = 250 * time.Millisecond

// dealShares marks the jobs beyond their team's guarantee. Which of its jobs a team's
// guarantee goes to follows the order in which they are served.
func (l *leader) assignGuarantees() {
	if l.c.now.Sub(l.guaranteesAt) < guaranteesEvery {
		return
	}
	l.guaranteesAt = l.c.now
	earlier := map[string]scheduler.Resources{}
	type ranked struct {
		*job
		late int
		work float64
	}
	order := make([]ranked, 0, len(l.order))
	for _, j := range l.order {
		if !j.cancelled && !l.blocked(j) {
			order = append(order, ranked{j, l.missed(j), l.workLeft(j)})
		}
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.work, b.work))
	})
	for _, r := range order {
		r.job.terms.Borrowed = !l.within(r.job, earlier)
	}
}

// assign plans attempts. The tasks of a gang carry the same attempt number:
// workers take only those for peers.
func (l *leader) assign(d *scheduler.Demand, placed []scheduler.Assignment) {
	j := l.jobs[d.Job]
	if d.Gang {
		top := uint64(0)
		for _, ch := range j.chunks {
			top = max(top, ch.next)
		}
		for _, p := range placed {
			j.chunks[p.Task/j.tasksPerRecord].next = top + 1
		}
	}
	for _, p := range placed {
		ch := &j.chunks[p.Task/j.tasksPerRecord]
		if !d.Gang {
			ch.next++
		}
		l.plan(j, p, ch.next).placedByAge = d.Aged
	}
}

// plan puts an attempt in force; its run is sent once the record is written.
func (l *leader) plan(j *job, p scheduler.Assignment, number uint64) *attempt {
	m := l.machines[p.Machine.ID]
	a := &attempt{job: j, task: p.Task, number: number, machine: m, session: m.session, placed: l.c.now}
	j.attempts[p.Task] = a
	m.add(a)
	j.state.Start(p.Task)
	j.touch(p.Task, l.c.now)
	j.urgent = true
	l.c.log(slog.LevelDebug, "placed", "job", j.id, "task", p.Task, "attempt", a.number, "machine", m.id,
		"cached", m.images[j.spec.Image], "part", p.Machine.Part)
	return a
}

// preempt stops what has to give way for a demand and counts the tasks that get
// room by it; a later round places them, once what was stopped is proved gone.
func (l *leader) preempt(machines []*scheduler.Machine, d *scheduler.Demand, missing int, excess scheduler.Excess) int {
	if d.Rank > 0 && !d.WithinGuarantee || d.AgeS < l.canWait(d) {
		return 0 // what is running may make room in time, and loses nothing
	}
	victims, room := scheduler.Preempt(machines, d, min(missing, 32), excess, l.c.now)
	for _, v := range victims {
		a := l.jobs[v.Job].attempts[v.Task]
		l.stop(a, graceOf(&a.job.spec))
		l.c.log(slog.LevelInfo, "preempting", "job", v.Job, "task", v.Task, "machine", a.machine.id, "for", d.Job)
	}
	return room
}

// canWait is for how many seconds a demand may wait for running tasks to end by
// themselves before any is stopped for it: of a service's aim on starting a quarter
// of what the fetch of its image leaves. What has run before is missed already.
func (l *leader) canWait(d *scheduler.Demand) float64 {
	switch {
	case d.Rank > 0:
		return l.guaranteeAim() / 2
	case d.Begun:
		return 0
	}
	spec := &l.jobs[d.Job].spec
	return (l.startAim(spec) - l.slowestFetch(spec)) / 4
}

// talk tells the other controllers the counts of tasks, for display.
func (l *leader) broadcastProgress() {
	const every = 500 * time.Millisecond
	if l.c.now.Sub(l.progressAt) < every {
		return
	}
	l.progressAt = l.c.now
	var jobs []*mesh.JobProgress
	for _, j := range l.order {
		n := jobCount{done: j.state.Count(reduction.Completed)}
		for _, a := range j.attempts {
			if a.running {
				n.running++
			}
		}
		if l.progressTold[j.id] != n {
			l.progressTold[j.id] = n
			l.c.progress[j.id] = n
			jobs = append(jobs, &mesh.JobProgress{Job: j.id, Done: uint32(n.done), Running: uint32(n.running)})
		}
	}
	hints := l.hints()
	deaf := l.partitioned[""]
	if len(jobs)+len(hints) > 0 || deaf {
		l.c.broadcast(&mesh.Envelope{Body: &mesh.Envelope_Progress{Progress: &mesh.Progress{Jobs: jobs, Hints: hints, Deaf: deaf}}})
	}
}

// hints lists what whoever leads next should know of machines that have changed,
// and now and then of all: where they are reached, since workers take seconds to
// find a new leader, and their images, which reports don't tell.
func (l *leader) hints() []*mesh.Hint {
	all := l.c.now.Sub(l.hintedAt) > hintAllEvery
	if all {
		l.hintedAt = l.c.now
	}
	var hs []*mesh.Hint
	for _, m := range l.fleetOrder {
		if !m.up || !all && len(m.images) == m.imagesTold {
			continue
		}
		m.imagesTold = len(m.images)
		h := &mesh.Hint{Machine: m.id, Addr: m.addr, Images: slices.Sorted(maps.Keys(m.images))}
		l.c.hints[m.id] = h
		hs = append(hs, h)
	}
	return hs
}
