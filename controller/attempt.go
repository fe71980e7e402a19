package controller

import (
	"time"

	"pumicefront/wire"
)

// attemptPhase is the phase that an attempt is known to have reached. It only advances: an attempt
// that has ended is no longer active and has no phase.
type attemptPhase uint8

// The phases of an attempt.
const (
	attemptPlanned  attemptPhase = iota // its record may not be written yet
	attemptRecorded                     // its record is written; its run command may be sent
	attemptSent                         // its run command has been sent and may arrive at any time
	attemptReported                     // a heartbeat or an answer of its worker has listed it on its machine
	attemptRunning                      // a heartbeat or an answer of its worker has listed it as running
)

// attempt is one execution of a task on a machine. It is active until it is proved to have ended.
type attempt struct {
	job              *job
	task             int
	number           uint64
	machine          *machine
	session          uint64 // worker session to which its run command is addressed
	token            uint64 // the highest token with which its run command may have been sent
	phase            attemptPhase
	restored         bool // placed by an earlier leader; its run command is not sent again
	placedByAge      bool // placed ahead of others because of its waiting time
	needsFetch       bool // its machine did not have its image when it was placed
	placed           time.Time
	runningSince     time.Time // when it was first listed as running
	stopping         bool      // it is to be stopped, and its run command is not sent any more
	stoppedAt        time.Time // when stopping was set
	graceS           float64   // seconds that it may take to save a checkpoint once it is stopped
	savingCheckpoint bool      // the last heartbeat or answer that listed it says that it is saving a checkpoint
}

// advance moves an attempt to a phase unless it has already passed it: a run command may be sent
// again, and a heartbeat that arrives late may show an earlier phase than a previous one.
func (a *attempt) advance(to attemptPhase) { a.phase = max(a.phase, to) }

func (a *attempt) taskID() string { return wire.TaskID(a.job.id, a.task) }

func (a *attempt) key() taskKey { return taskKey{a.taskID(), a.number} }
