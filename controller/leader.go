package controller

import (
	"time"

	"pumicefront/scheduler"
)

// leader is what a controller knows and does as leader; it goes when another one
// leads. Authority may lapse and come back meanwhile (see entitled).
type leader struct {
	c                    *Core
	token                uint64
	electedToken         uint64 // the token of our election
	version              uint64 // of the leader key: the condition of every write
	lease                uint64
	elected              time.Time
	renewed              time.Time // when the last renewal that succeeded was sent
	authority            time.Time // until when the state service's lease is ours for sure
	headersPromisedUntil time.Time // see headersKnownUntil
	recovered            bool

	jobs           map[string]*job
	order          []*job // by acceptance
	machines       map[string]*machine
	fleetOrder     []*machine // the same by name
	toSend         []*machine // that commands may wait for
	proofsAt       time.Time
	consolidatedAt time.Time           // see consolidate
	listening      time.Time           // without a pause since, see noteListening
	listened       time.Time           // when the machines were looked at last
	scratch        []scheduler.Machine // reused by every view
	guaranteesAt   time.Time           // see assignGuarantees
	released       map[string]time.Time
	obsoleteKeys   []string // task records whose job is over
	budget         writeBudget
	placeAt        time.Time // when the next round of placement is due; zero: none
	tokenRaisedAt  time.Time
	raisingToken   bool
	probedAt       map[string]time.Time // machines asked for a report, and when
	partitioned    map[string]bool      // see partitionedZones
	partitionedAt  map[string]time.Time // when each was seen last

	arrivals     []arrival
	demandHints  map[string]demandHint
	fleet        fleet
	progressAt   time.Time
	hintedAt     time.Time
	progressTold map[string]jobCount
	zones        *zoneRecovery // nil: switched off
}

// run is the leader's part of every step.
func (l *leader) run() {
	if !l.recovered {
		return
	}
	l.noteListening()
	l.proveGone()
	l.zones.run()
	l.place()
	l.flush()
	l.zones.keepRecords()
	l.sendCommands()
	l.runFleet()
	l.broadcastProgress()
}
