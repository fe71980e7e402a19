// Package history checks the recorded events of a run: every task ran as at most one attempt at a time (its
// owner), and all final answers about a job agree, as do the answers to requests sent after the first of them.
package history

import (
	"fmt"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	Started  Kind = iota // an attempt has started to run on its machine
	Ended                // the attempt no longer runs on the machine
	Answered             // a user received an answer with a job's state
)

// Event is the start or end of an attempt, or an answer that a user received.
type Event struct {
	Kind        Kind          // determines which of the fields below are set
	At          time.Duration // time of the event, since the start of the run
	Task        string        // Started, Ended
	Attempt     uint64        // Started, Ended: the attempt's number
	Machine     string        // Started, Ended: the machine on which the attempt runs
	Job         string        // Answered
	RequestedAt time.Duration // Answered: earliest time at which the request was sent
	State       string        // Answered: the job's state in the answer
	Final       bool          // Answered: State is final (done or cancelled)
}

// Violation is one breach of a rule in a history.
type Violation struct {
	Rule string // one of the rules below
	Text string // the events in conflict, in human-readable form
}

// The rules of a history; every Violation is of one of them.
const (
	RuleOneOwner  = "one owner"        // a task runs as at most one attempt at a time
	RuleOneAnswer = "one final answer" // once a job was reported as done or cancelled, every final answer and every answer to a later request has the same state
)

// runningAttempt identifies the attempt as which a task runs, and the machine on which it runs.
type runningAttempt struct {
	machine string
	attempt uint64
}

// finalAnswer is the first final answer given about a job.
type finalAnswer struct {
	state string
	at    time.Duration
}

// Check returns the violations in a history. The events must be in order of time.
func Check(events []Event) []Violation {
	var found []Violation
	running := map[string]runningAttempt{}
	finalAnswers := map[string]finalAnswer{}
	for _, e := range events {
		switch e.Kind {
		case Started:
			if current, isRunning := running[e.Task]; isRunning {
				found = append(found, Violation{RuleOneOwner, fmt.Sprintf("at %v task %s starts as attempt %d on %s while attempt %d runs on %s",
					e.At, e.Task, e.Attempt, e.Machine, current.attempt, current.machine)})
			}
			running[e.Task] = runningAttempt{e.Machine, e.Attempt}
		case Ended:
			if running[e.Task] == (runningAttempt{e.Machine, e.Attempt}) {
				delete(running, e.Task)
			}
		case Answered:
			first, answered := finalAnswers[e.Job]
			if answered && e.State != first.state && (e.Final || e.RequestedAt >= first.at) {
				found = append(found, Violation{RuleOneAnswer, fmt.Sprintf("at %v job %s is reported as %s, it was reported as %s at %v", e.At, e.Job, e.State, first.state, first.at)})
			}
			if e.Final && !answered {
				finalAnswers[e.Job] = finalAnswer{e.State, e.At}
			}
		}
	}
	return found
}
