package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/config"
)

// Faults of the network as the failure detector sees them: many machines that fall silent at once
// speak for a fault on the way to them, not on the machines.

// allZones stands for all machines where something is kept by zone.
const allZones = ""

// partitions are the faults of the network that a leader sees, by zone.
type partitions struct {
	active   map[string]bool      // now
	lastSeen map[string]time.Time // when each was seen last
}

// any reports whether there is one.
func (p *partitions) any() bool { return slices.Contains(slices.Collect(maps.Values(p.active)), true) }

// silentMachines counts machines by zone, and all of them under allZones.
type silentMachines struct{ all, silent map[string]int }

// countSilent counts the machines that are overdue or don't answer.
func (f *failureDetector) countSilent() silentMachines {
	count := silentMachines{map[string]int{}, map[string]int{}}
	for _, m := range f.machines {
		if !m.up {
			continue
		}
		count.all[m.zone]++
		count.all[allZones]++
		if f.heartbeatOverdue(m) || !m.unansweredSince.IsZero() {
			count.silent[m.zone]++
			count.silent[allZones]++
		}
	}
	return count
}

// observe finds the zones of which most machines are silent, and allZones where a
// quarter of all is: that speaks for a fault on the way to us, not on the
// machines. They are left their leases, and come back with what they ran.
func (p *partitions) observe(now time.Time, count silentMachines) {
	all, silent := count.all, count.silent
	p.active = map[string]bool{allZones: silent[allZones] > max(1, all[allZones]/4)}
	for zone, n := range silent {
		if zone != allZones && len(all) > 2 {
			p.active[zone] = n > 1 && 2*n > all[zone]
		}
	}
	for zone, is := range p.active {
		// A quarter of all may well have died or hang: they are waited for only where
		// their zone is cut, or most do not answer.
		if is && (zone != allZones || 2*silent[allZones] > all[allZones]) {
			p.lastSeen[zone] = now
		}
	}
}

// unheardZones lists the zones, and allZones for all machines, of which far too few have been
// heard in the last moments. Where all fall silent at once, those that were due
// first are suspected before a quarter of all is late: a leader that has just lost
// its way to the workers would release them.
func (f *failureDetector) unheardZones() map[string]bool {
	const (
		part  = 4 // of the time between two heartbeats
		least = 2 // heartbeats that must have been due
	)
	window := config.Seconds(f.c.cfg.Facts.Workers.ReportS / part)
	all, heard := map[string]int{}, map[string]int{}
	for _, m := range f.machines {
		if !m.up {
			continue
		}
		for _, zone := range [...]string{m.zone, allZones} {
			all[zone]++
			if f.c.now.Sub(m.reported) <= window {
				heard[zone]++
			}
		}
	}
	unheard := map[string]bool{}
	for zone, n := range all {
		unheard[zone] = n >= least*part && 3*heard[zone] < n/part
	}
	return unheard
}
