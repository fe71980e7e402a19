package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// Inheritance of priorities and deadlines: a job passes its priority and deadline on to all jobs that it needs.

// deadline is the time by which a job should end: its own deadline, or that of a job that depends on
// it, less the estimated durations of the dependents.
type deadline struct {
	fromJob     *wire.Job // the job that specifies the deadline; nil if there is none
	acceptedAt  time.Time // when that job was accepted
	dependentsS float64   // estimated duration of the dependents with their image fetches, in seconds
}

// within returns how many seconds after d.acceptedAt a job should end if the deadline of d.fromJob
// is multiplied by the given factor.
func (d deadline) within(times float64) float64 { return *d.fromJob.DeadlineS*times - d.dependentsS }

func (d deadline) at() time.Time { return d.acceptedAt.Add(config.Seconds(d.within(1))) }

// earlier reports whether d is an earlier deadline than o.
func (d deadline) earlier(o deadline) bool {
	return d.fromJob != nil && (o.fromJob == nil || d.at().Before(o.at()))
}

// inheritUrgency passes a job's priority and deadline on to the jobs that it needs, transitively,
// where they are higher or earlier than those jobs' own. It stops where nothing changes.
func (l *leader) inheritUrgency(j *job) {
	d := j.deadline
	d.dependentsS += j.spec.EstimateS + l.slowestFetchS(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		if needed == nil {
			continue
		}
		sooner := d.earlier(needed.deadline)
		if !sooner && j.terms.Rank >= needed.terms.Rank {
			continue
		}
		if sooner {
			needed.deadline = d
		}
		needed.terms.Rank = min(needed.terms.Rank, j.terms.Rank)
		l.inheritUrgency(needed)
	}
}
