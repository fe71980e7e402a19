package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
)

// The failure detector: which machines are suspected, and whether the fault is on the machine, in
// the network of its zone or in the leader itself, as after a pause of its process.

// failureDetector is the leader's component that determines from missed heartbeats which machines
// have failed and which leases have expired. It owns the listening period, the time for which the
// leader has processed heartbeats without interruption.
type failureDetector struct {
	*leader
	listening       listeningPeriod
	leasesCheckedAt time.Time // see checkLeaseExpiry
}

// newFailureDetector returns the failure detector of a leader.
func newFailureDetector(l *leader) *failureDetector { return &failureDetector{leader: l} }

// failureScan is one pass over all machines.
type failureScan struct {
	*failureDetector
	silentZones   map[string]bool      // see zonesWithoutHeartbeats
	reconnected   bool                 // see mostMachinesReconnected
	roomElsewhere []*scheduler.Machine // free capacity for tasks of released machines; nil: not computed yet
}

// releaseFailed decides for each suspected machine whether to release it now or to wait until its
// lease expires.
func (f *failureDetector) releaseFailed() {
	scan := &failureScan{failureDetector: f, silentZones: f.zonesWithoutHeartbeats(), reconnected: f.mostMachinesReconnected()}
	for _, m := range f.machinesByName {
		switch {
		case m.releasing:
		case m.up:
			scan.checkUp(m)
		default:
			scan.checkNotUp(m)
		}
	}
}

// checkNotUp releases or probes a machine that has sent no heartbeat to this leader, where due.
func (s *failureScan) checkNotUp(m *machine) {
	hint := s.c.machineHints[m.id]
	switch {
	case s.bootTimedOut(m):
		s.release(m, releaseNeverUp)
	case s.reconnected && s.overdueSinceElection(m) && s.canMove(m):
		s.release(m, releaseSilentSinceElection)
	case hint != nil && hint.Addr != "" && len(m.attempts) > 0:
		s.probe(m.id, hint.Addr)
	}
}

// checkUp releases or probes a machine that has sent heartbeats to this leader, where due.
func (s *failureScan) checkUp(m *machine) {
	switch {
	case s.faulty(m) && len(m.attempts) == 0:
		s.release(m, releaseFaulty)
	case m.reclaimNotice && len(m.attempts)+len(m.unknownAttempts) == 0:
		s.release(m, releaseReclaimed)
	case s.failed(m):
		s.release(m, releaseSilent)
	case (s.heartbeatOverdue(m) || !m.unansweredSince.IsZero()) && !m.callInFlight && !s.c.now.Before(m.nextProbeAt):
		s.sendCommand(m, nil) // a probe: possibly only its heartbeats, or only the answers to commands, are lost
	}
}

// failed reports whether a machine counts as failed: it has been silent for leasesUntilFailed lease durations, or it is
// suspected, the network to it is not at fault, and its tasks of the highest priority have room
// elsewhere.
func (s *failureScan) failed(m *machine) bool {
	lease := config.Seconds(s.c.cfg.Facts.Workers.LeaseS)
	silence := s.sinceHeartbeat(m)
	if silence > leasesUntilFailed*lease {
		return true
	}
	suspected := silence > s.suspectAfter() && m.lastCommandUnanswered || s.unreachableFor(m) > s.suspectAfter()
	return suspected && s.reachable(m.zone) && s.reachable(allZones) && s.canMove(m)
}

// leasesUntilFailed is the number of lease durations of silence after which a machine counts as
// failed, whatever the state of the network.
const leasesUntilFailed = 3

// reachable reports whether there is no sign of a network fault between the leader and a zone (or
// all machines, for allZones), now or within the suspicion time before: right after a partition
// some machines have not sent heartbeats again while others have.
func (s *failureScan) reachable(zone string) bool {
	return !s.silentZones[zone] && s.c.now.Sub(s.partitions.lastSuspected[zone]) > s.suspectAfter()
}

// canMove reports whether the tasks of the highest priority on a machine have room elsewhere. The
// free capacity is computed once per scan, so the tasks of one machine reduce the room left for
// those of the next.
func (s *failureScan) canMove(m *machine) bool {
	if s.roomElsewhere == nil {
		s.roomElsewhere = s.roomForTopPriority()
	}
	return s.failureDetector.canMove(m, s.roomElsewhere)
}

// roomForTopPriority returns a view of the machines in which the resources of all tasks below the
// highest priority count as free, as tasks of the highest priority preempt them.
func (f *failureDetector) roomForTopPriority() []*scheduler.Machine {
	machines := f.schedulerView(false)
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.Rank > 0 {
				m.Free = m.Free.Add(task.TaskResources, 1)
			}
		}
	}
	return machines
}

// listeningTimeSince returns how much of the time since then lies in the current listening period.
func (f *failureDetector) listeningTimeSince(then time.Time) time.Duration {
	return f.listening.elapsed(f.c.now, then)
}

// sinceHeartbeat returns how long a machine has sent no heartbeat while the leader was listening.
func (f *failureDetector) sinceHeartbeat(m *machine) time.Duration {
	return f.listeningTimeSince(m.lastHeartbeat)
}

// heartbeatDue returns the time after a heartbeat by which the next one is due, plus slack.
func (f *failureDetector) heartbeatDue(slack time.Duration) time.Duration {
	return config.Seconds(f.c.cfg.Facts.Workers.ReportS*1.25) + slack
}

// heartbeatOverdue reports whether a machine's next heartbeat is overdue.
func (f *failureDetector) heartbeatOverdue(m *machine) bool {
	return f.sinceHeartbeat(m) > f.heartbeatDue(250*time.Millisecond)
}

// unresponsive reports whether a machine has sent no heartbeat for too long to be given
// new work.
func (f *failureDetector) unresponsive(m *machine) bool {
	return f.sinceHeartbeat(m) > f.heartbeatDue(time.Second)
}

// unreachableFor returns how long a machine has left commands unanswered, whether or not its
// heartbeats arrive.
func (f *failureDetector) unreachableFor(m *machine) time.Duration {
	if m.unreachableSince.IsZero() {
		return 0
	}
	return f.listeningTimeSince(m.unreachableSince)
}

// mostMachinesReconnected reports whether at least half of the machines with attempts, or all but
// one, have sent heartbeats to this leader since the failover. Machines without attempts do not
// count.
func (f *failureDetector) mostMachinesReconnected() bool {
	missing, all := 0, 0
	for _, o := range f.machines {
		if len(o.attempts) > 0 {
			all++
			if !o.up {
				missing++
			}
		}
	}
	return missing <= max(1, all/2)
}

// overdueSinceElection reports whether a machine with work of an earlier leader should have sent a
// heartbeat to this leader by now. A machine that did not answer a probe is treated like any silent
// machine. One that could not be probed gets two more heartbeat intervals, as its worker may still
// be looking for the leader.
func (f *failureDetector) overdueSinceElection(m *machine) bool {
	limit := f.suspectAfter() + time.Second
	if !m.lastCommandUnanswered {
		limit += config.Seconds(2 * f.c.cfg.Facts.Workers.ReportS)
	}
	return len(m.attempts) > 0 && f.listeningTimeSince(f.elected) > limit
}

// canMove reports whether the tasks of the highest priority on a machine have room elsewhere now. If
// not, releasing the machine early gains nothing over waiting until its lease expires.
func (f *failureDetector) canMove(m *machine, machines []*scheduler.Machine) bool {
	for _, a := range m.attemptsInOrder() {
		d := f.c.demandOf(&a.job.spec)
		d.Tasks, d.RoomInTeam = []int{a.task}, 1
		if d.Rank == 0 && len(scheduler.Place(machines, d)) == 0 {
			return false
		}
	}
	return true
}

// bootTimedOut reports whether a machine that has sent no heartbeat to this leader should have
// finished booting by now.
func (f *failureDetector) bootTimedOut(m *machine) bool {
	boot := 60.0
	if t, ok := f.c.types[m.typ]; ok {
		boot = t.BootS
	}
	limit := config.Seconds(boot*2.5) + 10*time.Second
	if f.listeningTimeSince(f.elected) < config.Seconds(f.c.cfg.Facts.Workers.LeaseS) {
		return false // it may be up and not have found this leader yet
	}
	if m.typ == "" { // known only from an earlier leader's placements
		return f.c.now.After(f.leaseExpiry(m)) && f.c.now.Sub(f.elected) > 3*config.Seconds(f.c.cfg.Facts.Cloud.ListLagS)
	}
	return f.c.now.Sub(m.knownSince) > limit
}

// replacementDemands returns the demands of the service replicas on silent machines. Replacement machines
// for them boot while the leader waits for proof that the replicas have ended.
func (f *failureDetector) replacementDemands() []*scheduler.Demand {
	var demands []*scheduler.Demand
	for _, m := range f.machinesByName {
		suspected := max(f.sinceHeartbeat(m), f.unreachableFor(m)) > f.suspectAfter() || f.partitions.active[m.zone] && f.unresponsive(m)
		if !m.up || m.leaseExpired || !suspected {
			continue
		}
		for _, a := range m.attemptsInOrder() {
			if d := f.c.demandOf(&a.job.spec); d.Service && !a.job.cancelled {
				d.Tasks, d.RoomInTeam = []int{a.task}, 1
				demands = append(demands, d)
			}
		}
	}
	return demands
}

// suspectAfter returns how long a machine may be silent before it is suspected: a share of its
// lease, but at least the time within which a heartbeat is due.
func (f *failureDetector) suspectAfter() time.Duration {
	return max(config.Seconds(f.c.op.SilentShare*f.c.cfg.Facts.Workers.LeaseS), f.heartbeatDue(time.Second))
}
