package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/scheduler"
)

// Rounds of placement: what is ready is ordered, placed class by class, and makes room by
// preemption where it may.

// roundPause gathers what happens close together into one round of placement.
const roundPause = 5 * time.Millisecond

// roundPerMachine is added to that: a round's cost grows with the machines, and
// the processor is also there for the reports of all of them.
const roundPerMachine = 40 * time.Microsecond

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
	limits := l.zones.limitStarts(demands)
	all := l.view(true)
	machines := slices.DeleteFunc(slices.Clone(all), func(m *scheduler.Machine) bool { return m.Virtual })
	demands = scheduler.OrderWithAging(demands, l.reserve(machines))
	l.spreading.prepare(demands, machines)
	used := l.teamUse()
	l.spreading.reserve(used)
	excess := l.excess()
	full := map[classKey]bool{}
	kept := false
	for _, d := range demands {
		if d.Rank > 0 && !d.Service && !kept {
			l.autoscaler.reserveForHinted(machines)
			kept = true
		}
		l.spreading.placeHeld(machines, d, used)
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
		if placed < want && l.spreading.yieldRoom(machines, d, want-placed) {
			placed += l.placeSome(machines, d)
		}
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
	l.zones.noteHeldBack(limits)
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
	if placed < want && l.spreading.yieldRoom(machines, d, want-placed) {
		placed += l.placeSome(machines, d)
	}
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

// assign plans attempts. The tasks of a gang carry the same attempt number:
// workers take only those for peers.
func (l *leader) assign(d *scheduler.Demand, placed []scheduler.Assignment) {
	j := l.jobs[d.Job]
	if d.Gang {
		top := uint64(0)
		for _, ch := range j.chunks {
			top = max(top, ch.lastAttempt)
		}
		for _, p := range placed {
			j.chunks[p.Task/j.tasksPerRecord].lastAttempt = top + 1
		}
	}
	for _, p := range placed {
		ch := &j.chunks[p.Task/j.tasksPerRecord]
		if !d.Gang {
			ch.lastAttempt++
		}
		l.plan(j, p, ch.lastAttempt).placedByAge = d.Aged
	}
}

// plan puts an attempt in force; its run is sent once the record is written.
func (l *leader) plan(j *job, p scheduler.Assignment, number uint64) *attempt {
	m := l.machines[p.Machine.ID]
	a := &attempt{job: j, task: p.Task, number: number, machine: m, session: m.session, placed: l.c.now, fetches: !m.images[j.spec.Image]}
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
	if l.zones.recovering() {
		machines = slices.DeleteFunc(slices.Clone(machines), func(m *scheduler.Machine) bool { return l.zones.limitedZone(m.Zone) })
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
