package controller

import (
	"maps"
	"math"
	"slices"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The deployment's service-level objectives, as they apply to a job.

// fetchMissesStartObjective reports whether fetching a job's image alone takes longer than its tightest start
// objective. Such an image should be cached on many machines.
func (l *leader) fetchMissesStartObjective(j *wire.Job) bool {
	return l.slowestFetchS(j) > l.startObjectiveS(j)
}

// slowestFetchS is the time in seconds that a job's image takes to fetch on the slowest machine type for it.
func (l *leader) slowestFetchS(j *wire.Job) float64 {
	longest := 0.0
	for _, t := range l.c.typesFor(j) {
		if t.FetchGBps > 0 {
			longest = math.Max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return longest
}

// guaranteeObjectiveS returns the objective for the start of work within its team's guarantee, in seconds; 0 if there is
// none.
func (l *leader) guaranteeObjectiveS() float64 {
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "guarantee" {
			return o.WithinS
		}
	}
	return 0
}

// startObjectiveS is the tightest start objective that applies to a job, in seconds; infinite if there is none.
func (l *leader) startObjectiveS(j *wire.Job) float64 {
	within := math.Inf(1)
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Class || o.Kind == "guarantee" {
			within = math.Min(within, o.WithinS)
		}
	}
	return within
}

// otherClasses lists, for each other class with recent demand, the resources that one of its tasks takes.
func (l *leader) otherClasses(class string) []scheduler.Resources {
	var rs []scheduler.Resources
	for _, name := range slices.Sorted(maps.Keys(l.autoscaler.peaks)) {
		if name != class {
			rs = append(rs, taskResources(&l.autoscaler.peaks[name].spec))
		}
	}
	return rs
}
