package controller

import (
	"time"

	"pumicefront/scheduler"
)

// leader is what a controller knows and does as leader; it goes when another one
// leads. Authority may lapse and come back meanwhile (see entitled).
type leader struct {
	term
	c         *Core
	recovered bool // the records of earlier leaders are read

	jobs         map[string]*job
	order        []*job // by acceptance
	machines     map[string]*machine
	fleetOrder   []*machine // the same by name
	toSend       []*machine // that commands may wait for
	failures     *failureDetector
	writes       *writeQueue
	scratch      []scheduler.Machine // reused by every view
	guaranteesAt time.Time           // see assignGuarantees
	released     map[string]time.Time
	obsoleteKeys []string // task records whose job is over
	budget       writeBudget
	placeAt      time.Time            // when the next round of placement is due; zero: none
	probedAt     map[string]time.Time // machines asked for a report, and when
	partitions   partitions

	progressAt   time.Time
	hintedAt     time.Time
	progressTold map[string]jobCount
	zones        *zoneRecovery // nil: switched off
	cells        *cellSide     // nil: this cell is alone
	autoscaler   *autoscaler
	spreading    *spreading // nil: load is not spread
}

// run is the leader's part of every step.
func (l *leader) run() {
	if !l.recovered {
		return
	}
	l.failures.listening.observe(l.c.now)
	l.failures.checkLeaseExpiry()
	l.zones.run()
	l.cells.run()
	l.spreading.run()
	l.place()
	l.writes.flush()
	l.zones.keepRecords()
	l.sendCommands()
	l.autoscaler.run()
	l.broadcastProgress()
}
