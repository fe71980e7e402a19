package controller

import (
	"time"

	"pumicefront/scheduler"
)

// leader is a controller's state as leader. It is discarded when the controller steps down.
// Authority may lapse and be regained within a term (see hasAuthority).
type leader struct {
	term
	c         *Core
	recovered bool // the records of earlier leaders have been read

	jobs                 map[string]*job
	jobsByAcceptance     []*job // by acceptance time
	machines             map[string]*machine
	machinesByName       []*machine // machines sorted by ID
	toSend               []*machine // machines that may have commands to be sent
	failureDetector      *failureDetector
	writes               *writeQueue
	scratch              []scheduler.Machine  // buffer reused by every view
	guaranteesAssignedAt time.Time            // see assignGuarantees
	released             map[string]time.Time // when the release of each released machine was confirmed
	obsoleteKeys         []string             // records to delete, such as task records of finished jobs
	budget               writeBudget
	placementDueAt       time.Time            // when the next placement round is due; zero if none is
	probedAt             map[string]time.Time // when probe last probed each machine
	partitions           partitions

	progressSentAt time.Time           // when broadcastProgress last ran
	allHintsSentAt time.Time           // when the hints of all machines were last broadcast
	progressSent   map[string]jobCount // by job ID, as last broadcast
	zones          *zoneRecovery       // nil if zone recovery is off
	spillover      *spilloverManager   // nil if there are no links to other cells
	autoscaler     *autoscaler
	spreading      *spreading // nil if load spreading is off
}

// run does the leader's work at the end of every step in which it has authority.
func (l *leader) run() {
	if !l.recovered {
		return
	}
	l.failureDetector.listening.observe(l.c.now)
	l.failureDetector.checkLeaseExpiry()
	l.zones.run()
	l.spillover.reconcile()
	l.spreading.run()
	l.runPlacementRound()
	l.writes.flush()
	l.zones.saveRecords()
	l.sendCommands()
	l.autoscaler.run()
	l.broadcastProgress()
}
