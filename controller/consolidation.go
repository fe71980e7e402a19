package controller

import (
	"log/slog"
	"slices"
	"time"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// Consolidation: the few replicas on an expensive machine are moved to other machines, and it is released.

// consolidationInterval is the interval between checks for a machine whose replicas have room elsewhere.
const consolidationInterval = 2 * time.Second

// minReplicaRuntime is how long a replica must have run before it may be moved: a replica that is stopped sooner does not
// count as started.
const minReplicaRuntime = 60 * time.Second

// consolidate empties the machine with the highest cost per replica, if all its replicas have room on machines that are
// in use anyway and have their images, and nothing else needs the machine. A move interrupts a replica for a fraction
// of a second.
func (s *autoscaler) consolidate() {
	suspended := s.zones.recovering() || s.partitions.any() || s.spreading.moving()
	if s.spreading.keepsIdleMachines() || s.c.now.Sub(s.consolidatedAt) < consolidationInterval || suspended || !s.c.now.Before(s.authority) {
		return
	}
	s.consolidatedAt = s.c.now
	waiting := s.backlog()
	if slices.ContainsFunc(waiting, func(d *scheduler.Demand) bool { return len(d.Tasks) > 0 }) {
		return
	}
	best := s.costliestConsolidatable()
	if best == nil {
		return
	}
	if !s.fitsElsewhere(best) {
		best.consolidationFailedAt = s.c.now
		return
	}
	s.c.log(slog.LevelInfo, "emptying machine", "machine", best.id, "tasks", len(best.attemptsInOrder()))
	best.consolidating = true
	for _, a := range best.attemptsInOrder() {
		s.stop(a, saveGraceS(&a.job.spec))
	}
	s.schedulePlacement()
}

// costliestConsolidatable returns the consolidatable machine with the highest cost per replica, or nil if there is none.
// Among equal ones it returns the first by ID.
func (s *autoscaler) costliestConsolidatable() *machine {
	var best *machine
	costPerReplica := func(m *machine) float64 { return s.price(m) / float64(len(m.attemptsInOrder())) }
	for _, m := range s.machinesByName {
		if s.consolidatable(m) && (best == nil || costPerReplica(m) > costPerReplica(best)) {
			best = m
		}
	}
	return best
}

// consolidatable reports whether a machine runs nothing but replicas that have run for minReplicaRuntime, that take no
// more than half of it, and that a cheaper type would suffice for. Where no cheaper type exists, the free room on the
// machine serves as headroom for further replicas, so the machine is kept, unless a new machine boots in time for them.
func (s *autoscaler) consolidatable(m *machine) bool {
	if !s.usable(m) || len(m.attemptsInOrder()) == 0 || len(m.unknownAttempts) > 0 || s.c.now.Sub(m.consolidationFailedAt) < minReplicaRuntime {
		return false
	}
	used := 0.0
	for _, a := range m.attemptsInOrder() {
		if a.job.spec.Kind != wire.KindService || a.phase < attemptRunning || a.stopping || s.c.now.Sub(a.runningSince) < minReplicaRuntime ||
			!s.fitsCheaper(&a.job.spec, m) && s.headroomShare(&a.job.spec) > 0 {
			return false
		}
		used += s.c.measure.OfTask(taskResources(&a.job.spec))
	}
	return 2*used <= s.c.measure.Of(machineCapacity(s.c.types[m.typ]))
}

// fitsCheaper reports whether a task of a job could run on a machine type that costs less than that of a machine.
func (s *autoscaler) fitsCheaper(j *wire.Job, m *machine) bool {
	return slices.ContainsFunc(s.c.typesFor(j), func(t wire.MachineType) bool {
		return t.Price < s.c.types[m.typ].Price && machineCapacity(t).Fits(taskResources(j)) > 0
	})
}

// fitsElsewhere reports whether the other machines in use that have the images have room for all that a machine runs,
// and whether all headroom still has room without the machine.
func (s *autoscaler) fitsElsewhere(m *machine) bool {
	machines := slices.DeleteFunc(s.schedulerView(true), func(o *scheduler.Machine) bool { return o.ID == m.id })
	moved := map[*job][]*attempt{}
	for _, a := range m.attemptsInOrder() {
		moved[a.job] = append(moved[a.job], a)
	}
	inUse := slices.DeleteFunc(slices.Clone(machines), func(o *scheduler.Machine) bool {
		return o.Virtual || len(s.machines[o.ID].attemptsInOrder()) == 0
	})
	for _, j := range s.jobsByAcceptance {
		movedAttempts := moved[j]
		if len(movedAttempts) == 0 {
			continue
		}
		d := s.c.demandOf(&j.spec)
		for _, a := range j.attempts {
			d.InZone[a.machine.zone]++
		}
		for _, a := range movedAttempts {
			d.InZone[m.zone]--
			d.Tasks = append(d.Tasks, a.task)
		}
		d.RoomInTeam, d.CachedOnly = len(movedAttempts), true
		if len(scheduler.Place(inUse, d)) < len(movedAttempts) {
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
