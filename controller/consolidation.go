package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Consolidation: few replicas on a dear machine move to others, and it is released.

// consolidateEvery is how often a machine is looked for whose replicas have room elsewhere.
const consolidateEvery = 2 * time.Second

// settledFor is how long a replica must have run before it may be moved: a start
// that is stopped sooner was none.
const settledFor = 60 * time.Second

// consolidate empties the machine whose money is spent on fewest replicas, when all of
// them have room on machines that are in use anyway and have their images, and
// nothing else has use for the machine. A move costs its user a fraction of a second.
func (s *autoscaler) consolidate() {
	troubled := s.zones.recovering() || s.partitions.any() || s.spreading.moving()
	if s.spreading.keepsIdle() || s.c.now.Sub(s.consolidatedAt) < consolidateEvery || troubled || !s.c.now.Before(s.authority) {
		return
	}
	s.consolidatedAt = s.c.now
	waiting := s.backlog()
	if slices.ContainsFunc(waiting, func(d *scheduler.Demand) bool { return len(d.Tasks) > 0 }) {
		return
	}
	best := s.dearestMovable()
	if best == nil {
		return
	}
	if !s.fitsElsewhere(best) {
		best.immovableAt = s.c.now
		return
	}
	s.c.log(slog.LevelInfo, "emptying machine", "machine", best.id, "tasks", len(best.list))
	best.consolidating = true
	for _, a := range best.list {
		s.stop(a, graceOf(&a.job.spec))
	}
	s.wantPlacement()
}

// dearestMovable is the movable machine whose money is spent on fewest replicas, the first by name
// of those alike; nil if none is movable.
func (s *autoscaler) dearestMovable() *machine {
	var best *machine
	worth := func(m *machine) float64 { return s.price(m) / float64(len(m.list)) }
	for _, m := range s.fleetOrder {
		if s.movable(m) && (best == nil || worth(m) > worth(best)) {
			best = m
		}
	}
	return best
}

// movable reports whether all that a machine runs is replicas that have settled, on
// no more than half of it, and that a cheaper type would have done for. Where there is
// none, what is free beside them is room for the next, and moving them only costs it,
// unless a machine boots in time for the next.
func (s *autoscaler) movable(m *machine) bool {
	if !s.usable(m) || len(m.list) == 0 || len(m.unknownAttempts) > 0 || s.c.now.Sub(m.immovableAt) < settledFor {
		return false
	}
	used := 0.0
	for _, a := range m.list {
		if a.job.spec.Kind != wire.KindService || a.phase < attemptRunning || a.stopping || s.c.now.Sub(a.since) < settledFor ||
			!s.fitsCheaper(&a.job.spec, m) && s.headroomShare(&a.job.spec) > 0 {
			return false
		}
		used += s.c.measure.Of(jobEach(&a.job.spec))
	}
	return 2*used <= s.c.measure.Of(capOf(s.c.types[m.typ]))
}

// fitsCheaper reports whether a task could run on a type that costs less than a machine.
func (s *autoscaler) fitsCheaper(j *wire.Job, m *machine) bool {
	return slices.ContainsFunc(s.c.typesFor(j), func(t wire.MachineType) bool {
		return t.Price < s.c.types[m.typ].Price && capOf(t).Fits(jobEach(j)) > 0
	})
}

// fitsElsewhere reports whether the others have room for what a machine runs, where its
// images are, and for all that room is kept for.
func (s *autoscaler) fitsElsewhere(m *machine) bool {
	machines := slices.DeleteFunc(s.view(true), func(o *scheduler.Machine) bool { return o.ID == m.id })
	moved := map[*job][]*attempt{}
	for _, a := range m.list {
		moved[a.job] = append(moved[a.job], a)
	}
	inUse := slices.DeleteFunc(slices.Clone(machines), func(o *scheduler.Machine) bool {
		return o.Virtual || len(s.machines[o.ID].list) == 0
	})
	for _, j := range s.order {
		as := moved[j]
		if len(as) == 0 {
			continue
		}
		d := s.c.demandOf(&j.spec)
		for _, a := range j.attempts {
			d.InZone[a.machine.zone]++
		}
		for _, a := range as {
			d.InZone[m.zone]--
			d.Tasks = append(d.Tasks, a.task)
		}
		d.RoomInTeam, d.CachedOnly = len(as), true
		if len(scheduler.Place(inUse, d)) < len(as) {
			return false
		}
	}
	for _, d := range s.headroom() {
		if len(scheduler.Place(machines, d)) < len(d.Tasks) {
			return false
		}
	}
	return true
}
