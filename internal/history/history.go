// Package history checks what happened in a run after the fact: that every task had one owner at
// every moment and every job one final answer.
package history

import (
	"fmt"
	"time"
)

// Kind is what an event tells of.
type Kind uint8

// The kinds of events.
const (
	Started  Kind = iota // an attempt is on its machine from now on
	Ended                // it is there no more
	Answered             // a user was told of a job's state
)

// Event is one thing that happened.
type Event struct {
	Kind    Kind          // what it tells of
	At      time.Duration // when it happened, since the run began
	Task    string        // Started, Ended
	Attempt uint64        // Started, Ended: the attempt's number
	Machine string        // Started, Ended: where the attempt is
	Job     string        // Answered
	Asked   time.Duration // Answered: the request was sent at this time or later
	State   string        // Answered: the job's state that the user was told
	Final   bool          // Answered: that state is final (done or cancelled)
}

// Violation is a rule that a history breaks.
type Violation struct {
	Rule string // one of the rules below
	Text string // what happened, for a person to read
}

// The rules.
const (
	RuleOneOwner  = "one owner"        // a task runs as at most one attempt at a time
	RuleOneAnswer = "one final answer" // once a job is called done or cancelled, no other final answer and no answer to a later request differs
)

// owner is the attempt that a task runs as.
type owner struct {
	machine string
	attempt uint64
}

// finalAnswer is the first final answer about a job.
type finalAnswer struct {
	state string
	at    time.Duration
}

// Check returns what a history, in the order of time, breaks.
func Check(events []Event) []Violation {
	var found []Violation
	owners := map[string]owner{}
	finals := map[string]finalAnswer{}
	for _, e := range events {
		switch e.Kind {
		case Started:
			if o, owned := owners[e.Task]; owned {
				found = append(found, Violation{RuleOneOwner, fmt.Sprintf("at %v %s starts as attempt %d on %s, attempt %d is on %s",
					e.At, e.Task, e.Attempt, e.Machine, o.attempt, o.machine)})
			}
			owners[e.Task] = owner{e.Machine, e.Attempt}
		case Ended:
			if owners[e.Task] == (owner{e.Machine, e.Attempt}) {
				delete(owners, e.Task)
			}
		case Answered:
			first, told := finals[e.Job]
			if told && e.State != first.state && (e.Final || e.Asked >= first.at) {
				found = append(found, Violation{RuleOneAnswer, fmt.Sprintf("at %v %s is called %s, it was called %s at %v", e.At, e.Job, e.State, first.state, first.at)})
			}
			if e.Final && !told {
				finals[e.Job] = finalAnswer{e.State, e.At}
			}
		}
	}
	return found
}
