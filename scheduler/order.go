package scheduler

import (
	"cmp"
	"slices"
)

// Order sorts demands in place. Services and demands of the highest priority come first.
// Next are aged demands, the oldest first, then work within its team's guarantee, then, while
// work of a failed zone restarts, the earlier restart phase and demands that can run only in a
// zone whose starts are limited, then higher priority. Services are ordered by restart phase
// before guarantees. Under overload, oldest first would make every job late; so within a
// priority the demands that can still meet their objectives come first, and among those
// the ones with the least remaining work.
func Order(ds []*Demand) {
	slices.SortStableFunc(ds, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(urgencyTier(a), urgencyTier(b)), cmp.Compare(b.agedSeconds(), a.agedSeconds()), cmp.Compare(a.servicePhase(), b.servicePhase()),
			cmp.Compare(boolToInt(!a.WithinGuarantee), boolToInt(!b.WithinGuarantee)), cmp.Compare(a.RestartPhase, b.RestartPhase), cmp.Compare(boolToInt(!a.pinnedToLimitedZone()), boolToInt(!b.pinnedToLimitedZone())),
			cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.MissedObjectives, b.MissedObjectives), cmp.Compare(a.WorkS, b.WorkS), cmp.Compare(b.AgeS, a.AgeS), cmp.Compare(a.Job, b.Job))
	})
}

// agedSeconds returns the age of an aged demand, and 0 for all others.
func (d *Demand) agedSeconds() float64 {
	if d.Aged {
		return d.AgeS
	}
	return 0
}

// OrderWithAging orders demands so that no job starves: ordering by least work alone would
// delay the largest jobs for as long as smaller ones arrive. Aged demands come first, but
// together take no more than the reserve, a size in cores (see Measure). A job of which no task
// has run gets one task even beyond the reserve. Tasks beyond that are split off into a
// demand that is not aged and keeps its usual place. Gangs are never split.
func OrderWithAging(ds []*Demand, reserve float64) []*Demand {
	var out []*Demand
	slices.SortStableFunc(ds, func(a, b *Demand) int { return cmp.Compare(b.agedSeconds(), a.agedSeconds()) })
	for _, d := range ds {
		n, size := len(d.Tasks), d.Measure.OfTask(d.TaskResources)
		if d.Aged && urgencyTier(d) > 0 && !d.Gang && size > 0 {
			n = min(n, max(TasksWithin(reserve, size, n), 1-boolToInt(d.Started)))
			reserve -= float64(n) * size
		}
		if n < len(d.Tasks) {
			rest := *d
			rest.Tasks, rest.Aged = d.Tasks[n:], false
			out = append(out, &rest)
			d.Tasks = d.Tasks[:n]
		}
		if n > 0 {
			out = append(out, d)
		}
	}
	Order(out)
	return out
}

// urgencyTier returns 0 for services and demands of the highest priority, and 1 for all others.
func urgencyTier(d *Demand) int { return boolToInt(d.Rank > 0 && !d.Service) }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
