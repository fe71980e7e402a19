package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The scheduler's view of the machines. The snapshot of a machine is reused until the machine
// changes.

// usable reports whether a machine may be given new work.
func (l *leader) usable(m *machine) bool {
	// If commands to many machines get no response, the fault is likely on the leader's side, and the
	// answers to reports carry the commands.
	reachable := m.unansweredSince.IsZero() || l.partitions.active[allZones]
	return m.up && !m.releasing && !m.consolidating && !m.reclaimNotice && !m.leaseExpired && !l.failureDetector.unresponsive(m) && reachable
}

// schedulerView returns the scheduler's view of the usable machines and, with booting, of those that are not
// up yet. The caller may modify the view, which is valid until the next call. Only the snapshots of
// machines that have changed are rebuilt.
func (l *leader) schedulerView(booting bool) []*scheduler.Machine {
	l.assignGuarantees()
	if cap(l.scratch) < len(l.machinesByName) {
		l.scratch = make([]scheduler.Machine, 0, len(l.machinesByName)+len(l.machinesByName)/4)
	}
	l.scratch = l.scratch[:0]
	ms := make([]*scheduler.Machine, 0, len(l.machinesByName))
	for _, m := range l.machinesByName {
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

// takeSnapshot returns the scheduler's view of one machine.
func (l *leader) takeSnapshot(m *machine, t wire.MachineType) *scheduler.Machine {
	s := &scheduler.Machine{
		ID: m.id, Type: m.typ, Zone: m.zone, Spot: m.spot, Shard: m.shard,
		Cap: machineCapacity(t), Images: m.images, Virtual: !m.up,
	}
	s.Cap.Slots -= float64(m.endedAttempts.len())
	s.Free = s.Cap
	s.Fetching = l.spreading.imagesBeingFetched(m)
	s.Free = s.Free.Add(l.spreading.reservedResources(m.id), -1)
	if l.faulty(m) {
		s.Penalty = 1
	}
	for k := range m.unknownAttempts {
		id, _, _ := wire.SplitTaskID(k.task)
		if j := l.jobs[id]; j != nil {
			s.Free = s.Free.Add(taskResources(&j.spec), -1)
		} else {
			s.Free = scheduler.Resources{} // the resources that the attempt uses are unknown
		}
	}
	for _, a := range m.attemptsInOrder() {
		l.accountAttempt(s, a)
	}
	return s
}

// overdue reports whether a booting machine is so late that another one should be rented in its
// place: a few machines never come up, and it takes long to prove that.
func (l *leader) overdue(m *machine, t wire.MachineType) bool {
	return l.c.now.Sub(m.knownSince) > config.Seconds(t.BootS*1.6)+2*time.Second
}

// accountAttempt accounts for an attempt in a machine's snapshot.
func (l *leader) accountAttempt(s *scheduler.Machine, a *attempt) {
	each := a.job.terms.TaskResources
	s.Free = s.Free.Add(each, -1)
	if a.stopping {
		s.Releasing = s.Releasing.Add(each, 1)
		return
	}
	if a.job.spec.Kind == wire.KindService {
		s.Permanent = s.Permanent.Add(each, 1)
	}
	if a.phase < attemptReported {
		return // its run command may still be in transit, so it is no preemption candidate
	}
	since := time.Time{}
	if a.phase == attemptRunning {
		since = a.runningSince
	}
	s.Tasks = append(s.Tasks, scheduler.Victim{PreemptionTerms: a.job.terms, Task: a.task, Since: since, PlacedByAge: a.placedByAge})
}
