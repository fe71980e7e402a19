// Package history checks the recorded events of a run: at every moment every task had at most one owner,
// and every job got one final answer.
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

// Event is one thing that happened.
type Event struct {
	Kind        Kind          // which of the fields below are set depends on it
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

// The rules that Check checks.
const (
	RuleOneOwner  = "one owner"        // a task runs as at most one attempt at a time
	RuleOneAnswer = "one final answer" // once a job was reported as done or cancelled, every final answer and every answer to a later request has the same state
)

// owner is the attempt, and its machine, as which a task runs.
type owner struct {
	machine string
	attempt uint64
}

// finalAnswer is the first final answer given about a job.
type finalAnswer struct {
	state string
	at    time.Duration
}

// Check returns the violations in a history. Events are in order of time.
func Check(events []Event) []Violation {
	var found []Violation
	owners := map[string]owner{}
	finalAnswers := map[string]finalAnswer{}
	for _, e := range events {
		switch e.Kind {
		case Started:
			if current, owned := owners[e.Task]; owned {
				found = append(found, Violation{RuleOneOwner, fmt.Sprintf("at %v %s starts as attempt %d on %s, attempt %d is on %s",
					e.At, e.Task, e.Attempt, e.Machine, current.attempt, current.machine)})
			}
			owners[e.Task] = owner{e.Machine, e.Attempt}
		case Ended:
			if owners[e.Task] == (owner{e.Machine, e.Attempt}) {
				delete(owners, e.Task)
			}
		case Answered:
			first, answered := finalAnswers[e.Job]
			if answered && e.State != first.state && (e.Final || e.RequestedAt >= first.at) {
				found = append(found, Violation{RuleOneAnswer, fmt.Sprintf("at %v %s is called %s, it was called %s at %v", e.At, e.Job, e.State, first.state, first.at)})
			}
			if e.Final && !answered {
				finalAnswers[e.Job] = finalAnswer{e.State, e.At}
			}
		}
	}
	return found
}
