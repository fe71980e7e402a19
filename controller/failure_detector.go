package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
)

// The failure detector: which machines are suspected, and whether the fault is on the machine, in
// its zone's network or on the leader's side.

// failureDetector is the leader's part that tells from missed heartbeats which machines have
// failed, and which leases have expired. It owns the listening period, the time for which the
// leader has heard its machines without a pause.
type failureDetector struct {
	*leader
	listening       listeningPeriod
	leasesCheckedAt time.Time // see checkLeaseExpiry
}

// newFailureDetector returns the failure detector of a leader.
func newFailureDetector(l *leader) *failureDetector { return &failureDetector{leader: l} }

// failureScan is one look at all machines.
type failureScan struct {
	*failureDetector
	unheard   map[string]bool      // zones, see unheardZones
	found     bool                 // most machines of an earlier leader have sent heartbeats to this one
	elsewhere []*scheduler.Machine // room for what moves; nil: not drawn yet
}

// releaseFailed decides, of each machine that is suspected, between waiting its lease out and
// releasing it.
func (f *failureDetector) releaseFailed() {
	scan := &failureScan{failureDetector: f, unheard: f.unheardZones(), found: f.mostMachinesReconnected()}
	for _, m := range f.fleetOrder {
		switch {
		case m.releasing:
		case m.up:
			scan.checkUp(m)
		default:
			scan.checkNotUp(m)
		}
	}
}

// checkNotUp looks at a machine that has sent no heartbeat to this leader.
func (s *failureScan) checkNotUp(m *machine) {
	hint := s.c.hints[m.id]
	switch {
	case s.bootedTooLong(m):
		s.release(m, releaseNeverUp)
	case s.found && s.overdueSinceElection(m) && s.canMove(m):
		s.release(m, releaseSilentSinceElection)
	case hint != nil && hint.Addr != "" && len(m.attempts) > 0:
		s.probe(m.id, hint.Addr)
	}
}

// checkUp looks at a machine that has sent heartbeats to this leader.
func (s *failureScan) checkUp(m *machine) {
	switch {
	case s.faulty(m) && len(m.attempts) == 0:
		s.release(m, releaseFaulty)
	case m.notice && len(m.attempts)+len(m.unknownAttempts) == 0:
		s.release(m, releaseNoticed)
	case s.failed(m):
		s.release(m, releaseSilent)
	case (s.heartbeatOverdue(m) || !m.unansweredSince.IsZero()) && !m.callInFlight && !s.c.now.Before(m.probeAt):
		s.command(m, nil) // it may be only its heartbeats, or only the answers, that don't arrive
	}
}

// failed reports whether a machine is given up: it has been silent for several leases, or it is
// suspected, the fault is not on the way to it, and its replicas have room elsewhere.
func (s *failureScan) failed(m *machine) bool {
	lease := config.Seconds(s.c.cfg.Facts.Workers.LeaseS)
	silence := s.sinceHeartbeat(m)
	if silence > leasesUntilFailed*lease {
		return true
	}
	suspected := silence > s.suspectAfter() && m.unanswered || s.unreachableFor(m) > s.suspectAfter()
	return suspected && s.reachable(m.zone) && s.reachable(allZones) && s.canMove(m)
}

// leasesUntilFailed is how many leases a machine may be silent for whatever the network does.
const leasesUntilFailed = 3

// reachable reports whether nothing is wrong with the way to a zone, or to all machines. Just
// after a cut some machines are still to be heard, and others are back already.
func (s *failureScan) reachable(zone string) bool {
	return !s.unheard[zone] && s.c.now.Sub(s.partitions.lastSeen[zone]) > s.suspectAfter()
}

// canMove reports whether what a machine runs has room elsewhere. The room is drawn once: what
// moves off one machine takes it from the next.
func (s *failureScan) canMove(m *machine) bool {
	if s.elsewhere == nil {
		s.elsewhere = s.roomForReplicas()
	}
	return s.failureDetector.canMove(m, s.elsewhere)
}

// roomForReplicas is the view of the machines in which lower work gives way to replicas.
func (f *failureDetector) roomForReplicas() []*scheduler.Machine {
	machines := f.view(false)
	for _, m := range machines {
		for _, task := range m.Tasks {
			if task.Rank > 0 {
				m.Free = m.Free.Add(task.Each, 1)
			}
		}
	}
	return machines
}

// listenedSince is how much of the time since then the leader has listened for heartbeats.
func (f *failureDetector) listenedSince(then time.Time) time.Duration {
	return f.listening.elapsed(f.c.now, then)
}

// sinceHeartbeat is how long a machine has sent no heartbeat.
func (f *failureDetector) sinceHeartbeat(m *machine) time.Duration {
	return f.listenedSince(m.reported)
}

// heartbeatDue is how long after a heartbeat the next one should have come, with slack.
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

// unreachableFor is how long a machine has not answered commands, whatever its heartbeats say.
func (f *failureDetector) unreachableFor(m *machine) time.Duration {
	if m.unreachableSince.IsZero() {
		return 0
	}
	return f.listenedSince(m.unreachableSince)
}

// mostMachinesReconnected reports whether most machines that an earlier leader placed work on
// have sent heartbeats to this leader since the failover.
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

// overdueSinceElection reports whether a machine with work of an earlier leader should
// have found this leader by now. One that didn't answer when it was asked is like any other
// that has fallen silent; where nobody could ask, its worker may still be looking.
func (f *failureDetector) overdueSinceElection(m *machine) bool {
	limit := f.suspectAfter() + time.Second
	if !m.unanswered {
		limit += config.Seconds(2 * f.c.cfg.Facts.Workers.ReportS)
	}
	return len(m.attempts) > 0 && f.listenedSince(f.elected) > limit
}

// canMove reports whether what a machine runs has room elsewhere now. If not,
// releasing it early gains nothing over waiting its lease out.
func (f *failureDetector) canMove(m *machine, machines []*scheduler.Machine) bool {
	for _, a := range m.list {
		d := f.c.demandOf(&a.job.spec)
		d.Tasks, d.RoomInTeam = []int{a.task}, 1
		if d.Rank == 0 && len(scheduler.Place(machines, d)) == 0 {
			return false
		}
	}
	return true
}

func (f *failureDetector) bootedTooLong(m *machine) bool {
	boot := 60.0
	if t, ok := f.c.types[m.typ]; ok {
		boot = t.BootS
	}
	limit := config.Seconds(boot*2.5) + 10*time.Second
	if f.listenedSince(f.elected) < config.Seconds(f.c.cfg.Facts.Workers.LeaseS) {
		return false // it may be up and not have found us yet
	}
	if m.typ == "" { // known only from an earlier leader's placements
		return f.c.now.After(f.leaseExpiry(m)) && f.c.now.Sub(f.elected) > 3*config.Seconds(f.c.cfg.Facts.Cloud.ListLagS)
	}
	return f.c.now.Sub(m.since) > limit
}

// replacements lists the services on machines that have gone silent: the machines to
// take them over boot while the proof that they are gone is waited for.
func (f *failureDetector) replacements() []*scheduler.Demand {
	var ds []*scheduler.Demand
	for _, m := range f.fleetOrder {
		suspected := max(f.sinceHeartbeat(m), f.unreachableFor(m)) > f.suspectAfter() || f.partitions.active[m.zone] && f.unresponsive(m)
		if !m.up || m.leaseOut || !suspected {
			continue
		}
		for _, a := range m.list {
			if d := f.c.demandOf(&a.job.spec); d.Service && !a.job.cancelled {
				d.Tasks, d.RoomInTeam = []int{a.task}, 1
				ds = append(ds, d)
			}
		}
	}
	return ds
}

// suspectAfter is how long a machine may be silent before it is suspected: a share of
// its lease, but never less than a heartbeat may take.
func (f *failureDetector) suspectAfter() time.Duration {
	return max(config.Seconds(f.c.op.SilentShare*f.c.cfg.Facts.Workers.LeaseS), f.heartbeatDue(time.Second))
}
