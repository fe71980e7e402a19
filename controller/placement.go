package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/scheduler"
)

// Placement rounds: the ready tasks are ordered and placed demand by demand. Where the rules allow it, running tasks
// are preempted to make room.

// placementDelay is how long a round is delayed after it is wanted, so that events close together share one round.
const placementDelay = 5 * time.Millisecond

// placementDelayPerMachine is added to placementDelay for each machine: the cost of a round grows with the fleet, and
// the same processor also handles the reports of all machines.
const placementDelayPerMachine = 40 * time.Microsecond

// schedulePlacement schedules a placement round, unless one is scheduled already.
func (l *leader) schedulePlacement() {
	if l.placementDueAt.IsZero() {
		pause := placementDelay + time.Duration(len(l.machines))*placementDelayPerMachine
		l.placementDueAt = l.c.now.Add(pause)
		l.c.after(pause, func() {})
	}
}

// runPlacementRound runs a placement round if one is due and the leader has authority: it lists the demands of all
// jobs, orders them, and places them one by one.
func (l *leader) runPlacementRound() {
	if l.placementDueAt.IsZero() || l.c.now.Before(l.placementDueAt) || len(l.c.types) == 0 || !l.c.now.Before(l.authority) {
		return
	}
	l.placementDueAt = time.Time{}
	demands := l.demands()
	if len(demands) == 0 {
		return
	}
	limits := l.zones.limitStarts(demands)
	all := l.schedulerView(true)
	machines := slices.DeleteFunc(slices.Clone(all), func(m *scheduler.Machine) bool { return m.Virtual })
	demands = scheduler.OrderWithAging(demands, l.agingReserve(machines))
	l.spreading.setBalance(demands, machines)
	used := l.teamUse()
	l.spreading.reserveTeamQuota(used)
	excess := l.excess()
	unplaceable := map[demandKey]bool{}
	hintedReserved := false
	for _, d := range demands {
		if d.Rank > 0 && !d.Service && !hintedReserved {
			l.autoscaler.reserveForHintedServices(machines)
			hintedReserved = true
		}
		l.spreading.placeReserved(machines, d, used)
		d.RoomInTeam = l.roomInTeam(d, used)
		key := demandKeyOf(d)
		if d.RoomInTeam == 0 || unplaceable[key] {
			continue
		}
		want := min(len(d.Tasks), d.RoomInTeam)
		placed := 0
		if d.WaitForBooting {
			placed = l.placeTasks(all, d) // late for its start objective: may wait for a booting machine that suits it
		}
		if d.SpreadImages && d.Service && d.Rank == 0 {
			placed += l.placeCached(machines, d, want-placed, excess)
		}
		placed += l.placeTasks(machines, d)
		if placed < want && l.spreading.preemptReserved(machines, d, want-placed) {
			placed += l.placeTasks(machines, d)
		}
		used[d.Team] = used[d.Team].Add(d.TaskResources, float64(placed))
		if placed < want {
			// No machine has room for one more of these tasks, so demands with the same key need not be tried. This
			// doesn't follow if the demand has constraints that are not part of the key, nor from a gang: there may be
			// room for some of its tasks.
			unplaceable[key] = len(d.Avoid) == 0 && !d.OneZone && !d.Spread && !d.Gang && d.OnMachine == nil
			if !d.Gang || want == len(d.Tasks) && scheduler.WillFit(machines, d) {
				l.preempt(machines, d, want-placed, excess)
			}
			if d.Aged && placed == 0 {
				l.reserveFor(machines, d, used)
			}
		}
	}
	l.zones.recordThrottledStarts(limits)
}

// reserveFor reserves machines for an aged demand that did not fit. For a gang that exceeds what is left of its team's limit
// it reserves that instead: the machines would stand empty meanwhile.
func (l *leader) reserveFor(machines []*scheduler.Machine, d *scheduler.Demand, used map[string]scheduler.Resources) {
	if !d.Gang || len(d.Tasks) <= d.RoomInTeam {
		scheduler.ReserveFor(machines, d)
		return
	}
	if l.roomInTeam(d, l.teamUseByServices()) >= len(d.Tasks) && scheduler.WillFit(machines, d) {
		used[d.Team] = used[d.Team].Add(d.TaskResources, float64(len(d.Tasks)))
	}
}

// placeTasks places as many tasks of a demand as fit, removes them from the demand, and returns their number. Tasks
// assigned to a machine that is still booting get no attempt: they wait for the machine.
func (l *leader) placeTasks(machines []*scheduler.Machine, d *scheduler.Demand) int {
	placed := scheduler.Place(machines, d)
	n := len(placed)
	l.assign(d, slices.DeleteFunc(placed, func(p scheduler.Assignment) bool { return p.Machine.Virtual }))
	d.Tasks, d.RoomInTeam = d.Tasks[n:], d.RoomInTeam-n
	return n
}

// placeCached places a service on machines that have its image, since fetching the image takes longer than the start
// objective allows. It preempts tasks on such machines before the service is placed elsewhere, and returns how many
// tasks are placed or will get room by preemption.
func (l *leader) placeCached(machines []*scheduler.Machine, d *scheduler.Demand, want int, excess scheduler.Excess) int {
	d.CachedOnly = true
	placed := l.placeTasks(machines, d)
	if placed < want && l.spreading.preemptReserved(machines, d, want-placed) {
		placed += l.placeTasks(machines, d)
	}
	freeing := 0
	if placed < want && l.imageCachedAnywhere(machines, d) {
		freeing = l.preempt(machines, d, want-placed, excess)
	}
	d.CachedOnly = false
	d.Tasks, d.RoomInTeam = d.Tasks[freeing:], d.RoomInTeam-freeing
	return placed + freeing
}

func (l *leader) imageCachedAnywhere(machines []*scheduler.Machine, d *scheduler.Demand) bool {
	return slices.ContainsFunc(machines, func(m *scheduler.Machine) bool { return m.Images[d.Image] })
}

// demandKey identifies demands that are alike: if no machine has room for one of them, none has room for the others.
type demandKey struct {
	class, team, zone, types string
	each                     scheduler.Resources
	spot                     bool
	rank                     int
	withinGuarantee          bool
}

func demandKeyOf(d *scheduler.Demand) demandKey {
	types := ""
	for _, t := range d.Types {
		types += t + " "
	}
	return demandKey{d.Class, d.Team, d.Zone, types, d.TaskResources, d.Spot, d.Rank, d.WithinGuarantee}
}

// assign creates the attempts of placed tasks. All tasks of a gang get the same attempt number: workers accept only
// attempts with the same number as peers.
func (l *leader) assign(d *scheduler.Demand, placed []scheduler.Assignment) {
	j := l.jobs[d.Job]
	if d.Gang {
		highest := uint64(0)
		for _, ch := range j.chunks {
			highest = max(highest, ch.lastAttempt)
		}
		for _, p := range placed {
			j.chunks[p.Task/j.tasksPerRecord].lastAttempt = highest + 1
		}
	}
	for _, p := range placed {
		ch := &j.chunks[p.Task/j.tasksPerRecord]
		if !d.Gang {
			ch.lastAttempt++
		}
		l.startAttempt(j, p, ch.lastAttempt).placedByAge = d.Aged
	}
}

// startAttempt adds an active attempt; its run command is sent once the job's record is written.
func (l *leader) startAttempt(j *job, p scheduler.Assignment, number uint64) *attempt {
	m := l.machines[p.Machine.ID]
	a := &attempt{job: j, task: p.Task, number: number, machine: m, session: m.session, placed: l.c.now, needsFetch: !m.images[j.spec.Image]}
	j.attempts[p.Task] = a
	m.add(a)
	j.state.Start(p.Task)
	j.markTaskDirty(p.Task, l.c.now)
	j.urgent = true
	l.c.log(slog.LevelDebug, "placed", "job", j.id, "task", p.Task, "attempt", a.number, "machine", m.id,
		"cached", m.images[j.spec.Image], "part", p.Machine.Shard)
	return a
}

// preempt stops running tasks in favor of a demand, and returns how many of the demand's tasks get room by it. A later
// round places them, once the stopped attempts are proved to have ended.
func (l *leader) preempt(machines []*scheduler.Machine, d *scheduler.Demand, missing int, excess scheduler.Excess) int {
	if d.Rank > 0 && !d.WithinGuarantee || d.AgeS < l.preemptionDelayS(d) {
		return 0 // running tasks may end in time, and then no work is lost
	}
	if l.zones.recovering() {
		machines = slices.DeleteFunc(slices.Clone(machines), func(m *scheduler.Machine) bool { return l.zones.startsLimited(m.Zone) })
	}
	victims, room := scheduler.Preempt(machines, d, min(missing, 32), excess, l.c.now)
	for _, v := range victims {
		a := l.jobs[v.Job].attempts[v.Task]
		l.stop(a, saveGraceS(&a.job.spec))
		l.c.log(slog.LevelInfo, "preempting", "job", v.Job, "task", v.Task, "machine", a.machine.id, "for", d.Job)
	}
	return room
}

// preemptionDelayS returns for how many seconds a demand waits for running tasks to end by themselves before any is
// stopped for it. Below the highest rank it is half of the guarantee objective. At the highest rank it is a quarter of
// what the fetch of the image leaves of the start objective; work that has run before does not wait, since its
// users are without it already.
func (l *leader) preemptionDelayS(d *scheduler.Demand) float64 {
	switch {
	case d.Rank > 0:
		return l.guaranteeObjectiveS() / 2
	case d.Started:
		return 0
	}
	spec := &l.jobs[d.Job].spec
	return (l.startObjectiveS(spec) - l.slowestFetchS(spec)) / 4
}
