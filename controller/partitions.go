package controller

import (
	"maps"
	"slices"
	"time"

	"pumicefront/config"
)

// Network partitions as the failure detector recognizes them: many machines that fall silent at once indicate a
// fault on the network path to them, not on the machines.

// allZones is the key that stands for all machines in maps by zone.
const allZones = ""

// partitions are the network partitions that a leader suspects, by zone.
type partitions struct {
	active        map[string]bool      // suspected now
	lastSuspected map[string]time.Time // when each was last suspected
}

// any reports whether any partition is suspected now.
func (p *partitions) any() bool { return slices.Contains(slices.Collect(maps.Values(p.active)), true) }

// silentMachines counts all machines and the silent ones by zone, and in total under allZones.
type silentMachines struct{ all, silent map[string]int }

// countSilent counts the machines whose heartbeat is overdue or whose last command is unanswered.
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

// observe finds the zones in which most machines are silent, and allZones where more than a quarter of all machines is:
// that indicates a fault on the network path to the leader, not on the machines. Such machines keep their leases, and
// return with the tasks that they ran.
func (p *partitions) observe(now time.Time, count silentMachines) {
	all, silent := count.all, count.silent
	p.active = map[string]bool{allZones: silent[allZones] > max(1, all[allZones]/4)}
	for zone, n := range silent {
		if zone != allZones && len(all) > 2 { // with a single zone, allZones covers it
			p.active[zone] = n > 1 && 2*n > all[zone]
		}
	}
	for zone, active := range p.active {
		// lastSuspected makes the failure detector wait longer for silent machines. A quarter of all machines
		// may well have failed or hang, so it is set only for a suspected zone, or for allZones if most
		// machines are silent.
		if active && (zone != allZones || 2*silent[allZones] > all[allZones]) {
			p.lastSuspected[zone] = now
		}
	}
}

// zonesWithoutHeartbeats lists the zones, and allZones for all machines, from which far too few heartbeats have
// arrived in the latest part of a heartbeat interval. Where all machines fall silent at once, those that were due
// first are suspected before a quarter of all is overdue: without this check, a leader that has just lost its
// connection to the workers would release those machines.
func (f *failureDetector) zonesWithoutHeartbeats() map[string]bool {
	const (
		windowsPerInterval = 4 // the window is one heartbeat interval divided by this
		minDue             = 2 // heartbeats that must have been due in the window
	)
	window := config.Seconds(f.c.cfg.Facts.Workers.ReportS / windowsPerInterval)
	all, recent := map[string]int{}, map[string]int{}
	for _, m := range f.machines {
		if !m.up {
			continue
		}
		for _, zone := range [...]string{m.zone, allZones} {
			all[zone]++
			if f.c.now.Sub(m.lastHeartbeat) <= window {
				recent[zone]++
			}
		}
	}
	lacking := map[string]bool{}
	for zone, n := range all {
		lacking[zone] = n >= minDue*windowsPerInterval && 3*recent[zone] < n/windowsPerInterval
	}
	return lacking
}
