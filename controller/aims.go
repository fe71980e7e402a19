package controller

import (
	"maps"
	"math"
	"slices"

	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The deployment's objectives, as they bear on a job.

// fetchMatters reports whether fetching the image alone would miss the class's
// tightest aim on starting: then its image had better be in many places.
func (l *leader) fetchMatters(j *wire.Job) bool {
	return l.slowestFetch(j) > l.startAim(j)
}

// slowestFetch is how many seconds a job's image takes where it takes longest.
func (l *leader) slowestFetch(j *wire.Job) float64 {
	longest := 0.0
	for _, t := range l.c.typesFor(j) {
		if t.FetchGBps > 0 {
			longest = math.Max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return longest
}

// guaranteeAim is how soon work within a guarantee should start.
func (l *leader) guaranteeAim() float64 {
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "guarantee" {
			return o.WithinS
		}
	}
	return 0
}

// startAim is the tightest aim on starting that holds for a job.
func (l *leader) startAim(j *wire.Job) float64 {
	within := math.Inf(1)
	for _, o := range l.c.cfg.Facts.Objectives {
		if o.Kind == "wait" && o.Class == j.Class || o.Kind == "guarantee" {
			within = math.Min(within, o.WithinS)
		}
	}
	return within
}

// otherClasses lists what a task of each other class of late takes.
func (l *leader) otherClasses(class string) []scheduler.Resources {
	var rs []scheduler.Resources
	for _, name := range slices.Sorted(maps.Keys(l.autoscaler.peaks)) {
		if name != class {
			rs = append(rs, jobEach(&l.autoscaler.peaks[name].spec))
		}
	}
	return rs
}
