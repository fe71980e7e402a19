package controller

import (
	"time"

	"pumicefront/wire"
)

// attemptPhase is how far an attempt is known to have come. It only advances: what ends an
// attempt takes it out of force.
type attemptPhase uint8

// The phases of an attempt.
const (
	attemptPlanned  attemptPhase = iota // its record is not known to be written
	attemptRecorded                     // its run may be sent
	attemptSent                         // its run may arrive at any time
	attemptSeen                         // a report has shown it on its machine
	attemptRunning                      // a report has shown it running
)

// attempt is one try of a task on a machine, in force until it is proved gone.
type attempt struct {
	job         *job
	task        int
	number      uint64
	machine     *machine
	session     uint64 // that its run command is addressed to
	token       uint64 // the highest that its run may have been sent with
	phase       attemptPhase
	restored    bool // an earlier leader's: its run is not sent again
	placedByAge bool // placed after waiting its turn
	fetches     bool // its machine lacked its image
	placed      time.Time
	since       time.Time // running since
	stopping    bool
	stoppedAt   time.Time
	grace       float64
	saving      bool // a report has shown it saving
}

// advance takes an attempt to a phase, unless it is known to have come further: a run may be
// sent again, and a late report may show less than an earlier one.
func (a *attempt) advance(to attemptPhase) { a.phase = max(a.phase, to) }

func (a *attempt) taskID() string { return wire.TaskID(a.job.id, a.task) }

func (a *attempt) key() taskKey { return taskKey{a.taskID(), a.number} }
