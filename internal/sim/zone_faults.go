package sim

import (
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/scheduler"
	"pumicefront/zones"
)

// Faults of whole zones, and records of how the controllers handle them.

// zoneHistory records the zone events that leaders emit, and the fetches in each zone.
type zoneHistory struct {
	changes     []controller.ZoneChanged
	restarts    map[scheduler.RestartPhase][]time.Duration // when tasks that were lost with their zone ran again, by restart phase
	maxFetching map[string]int                             // the largest number of machines that fetched an image at once, by zone
}

// enableZoneRecovery restarts the cores of all controllers with zone recovery on.
func (w *World) enableZoneRecovery(change func(*zones.Settings)) {
	settings := zones.DefaultSettings()
	settings.LostAfter = 3 * time.Second // leases last only ten seconds in these runs
	if change != nil {
		change(&settings)
	}
	w.op.ZoneRecovery = &config.ZoneRecovery{Settings: settings}
	for _, n := range w.controllers {
		n.boot()
	}
}

func (w *World) recordZoneChange(change controller.ZoneChanged) {
	w.Log("%v zone %s is %s", w.now, change.Zone, change.To)
	w.coverage["a zone is "+change.To.String()]++
	w.zoneHistory.changes = append(w.zoneHistory.changes, change)
}

func (w *World) recordTaskRestart(r controller.TaskRestarted) {
	if w.zoneHistory.restarts == nil {
		w.zoneHistory.restarts = map[scheduler.RestartPhase][]time.Duration{}
	}
	w.zoneHistory.restarts[r.Phase] = append(w.zoneHistory.restarts[r.Phase], w.now)
	w.coverage["a task that was lost with its zone runs again"]++
}

// recordConcurrentFetches updates the largest number of machines in a zone that fetch an image at once.
func (w *World) recordConcurrentFetches(zone string) {
	if w.shape.Zones == 0 {
		return
	}
	n := 0
	for _, h := range w.hosts {
		if h.zone == zone && !h.hasEnded && h.isFetching() {
			n++
		}
	}
	if w.zoneHistory.maxFetching == nil {
		w.zoneHistory.maxFetching = map[string]int{}
	}
	w.zoneHistory.maxFetching[zone] = max(w.zoneHistory.maxFetching[zone], n)
}

// cutOffZone cuts off a zone's machines for a while. Messages to and from them are delivered when the cut
// ends.
func (w *World) cutOffZone(zone string, duration time.Duration) {
	w.Log("%v zone %s goes dark", w.now, zone)
	w.setZoneCut(zone, true)
	w.after(duration, func() {
		w.Log("%v zone %s is back", w.now, zone)
		w.setZoneCut(zone, false)
	})
}

func (w *World) setZoneCut(zone string, cut bool) {
	w.faults.unreachableZones[zone] = cut
	for _, h := range w.hosts {
		if h.zone == zone && !h.hasEnded {
			h.setPartitioned(cut)
		}
	}
}

// isolateZoneWithController cuts off a zone together with a controller in it for a while: the controller reaches the
// zone's machines, but neither other machines, the other controllers nor the state service.
func (w *World) isolateZoneWithController(zone string, n *member, duration time.Duration) {
	w.Log("%v zone %s is cut off with %s", w.now, zone, n.name)
	w.faults.isolated = isolatedZone{zone: zone, controller: n}
	for _, h := range w.hosts {
		w.faults.isolated.token = max(w.faults.isolated.token, h.token)
	}
	n.cutFromStateAndPeers = true
	since := w.now
	w.after(duration, func() {
		if w.now-since > w.leaseTime() {
			w.coverage["a zone with a controller in it partitioned for longer than a lease"]++
		}
		w.faults.isolated = isolatedZone{}
		n.cutFromStateAndPeers = false
		w.store.notify()
	})
}

// powerOffZone ends all machines of a zone that are up, and the tasks on them.
func (w *World) powerOffZone(zone string) {
	for _, h := range w.hosts {
		if h.zone == zone && !h.hasEnded && h.bootedAt < w.now {
			h.terminate()
		}
	}
}
