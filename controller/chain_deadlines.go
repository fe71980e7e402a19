package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// Deadlines of chains: the last job's priority and deadline count for all that it needs.

// deadline is by when a job should end: its own time, or that of the last job of its
// chain less what is estimated for those between.
type deadline struct {
	last   *wire.Job // whose time it is; nil: there is none
	from   time.Time // its submission
	before float64   // seconds before its end
}

// within is in how many seconds from d.from a job should end, where the last one has
// the given multiple of its time.
func (d deadline) within(times float64) float64 { return *d.last.DeadlineS*times - d.before }

func (d deadline) at() time.Time { return d.from.Add(config.Seconds(d.within(1))) }

// earlier reports whether d presses more than o.
func (d deadline) earlier(o deadline) bool {
	return d.last != nil && (o.last == nil || d.at().Before(o.at()))
}

// inheritUrgency gives the jobs that a job needs its priority and its deadline, where those
// press more than their own. It stops where nothing changes.
func (l *leader) inheritUrgency(j *job) {
	d := j.due
	d.before += j.spec.EstimateS + l.slowestFetch(&j.spec)
	for _, p := range j.spec.Needs {
		needed := l.jobs[p]
		if needed == nil {
			continue
		}
		sooner := d.earlier(needed.due)
		if !sooner && j.terms.Rank >= needed.terms.Rank {
			continue
		}
		if sooner {
			needed.due = d
		}
		needed.terms.Rank = min(needed.terms.Rank, j.terms.Rank)
		l.inheritUrgency(needed)
	}
}
