package sim

import (
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/scheduler"
	"pumicefront/zones"
)

// Faults of whole zones, and what is noted of how the service takes them.

// zoneHistory is what the leaders told of zones, and what was seen of them.
type zoneHistory struct {
	changes  []controller.ZoneChanged
	restarts map[scheduler.RestartPhase][]time.Duration // when displaced tasks ran again, by phase
	fetching map[string]int                             // the most fetches at once in each zone
}

// recoverZones switches zone recovery on for all processes that start from now on.
func (w *World) recoverZones(change func(*zones.Settings)) {
	settings := zones.DefaultSettings()
	settings.LostAfter = 3 * time.Second // leases are short here
	if change != nil {
		change(&settings)
	}
	w.op.ZoneRecovery = &config.ZoneRecovery{Settings: settings}
	for _, n := range w.nodes {
		n.boot()
	}
}

func (w *World) noteZone(change controller.ZoneChanged) {
	w.Log("%v zone %s is %s", w.now, change.Zone, change.To)
	w.coverage["a zone is "+change.To.String()]++
	w.zoneHistory.changes = append(w.zoneHistory.changes, change)
}

func (w *World) noteTaskRestart(r controller.TaskRestarted) {
	if w.zoneHistory.restarts == nil {
		w.zoneHistory.restarts = map[scheduler.RestartPhase][]time.Duration{}
	}
	w.zoneHistory.restarts[r.Phase] = append(w.zoneHistory.restarts[r.Phase], w.now)
	w.coverage["a task that was lost with its zone runs again"]++
}

// noteFetch notes how many machines of a zone fetch at once.
func (w *World) noteFetch(zone string) {
	if w.shape.Zones == 0 {
		return
	}
	n := 0
	for _, h := range w.hosts {
		if h.zone == zone && !h.gone && h.fetches() {
			n++
		}
	}
	if w.zoneHistory.fetching == nil {
		w.zoneHistory.fetching = map[string]int{}
	}
	w.zoneHistory.fetching[zone] = max(w.zoneHistory.fetching[zone], n)
}

// darken cuts a zone off for a while: its machines reach nobody, and what was sent to or by them
// arrives when it is back.
func (w *World) darken(zone string, duration time.Duration) {
	w.Log("%v zone %s goes dark", w.now, zone)
	w.setDark(zone, true)
	w.after(duration, func() {
		w.Log("%v zone %s is back", w.now, zone)
		w.setDark(zone, false)
	})
}

func (w *World) setDark(zone string, dark bool) {
	w.faults.darkZones[zone] = dark
	for _, h := range w.hosts {
		if h.zone == zone && !h.gone {
			h.setCut(dark)
		}
	}
}

// isolate cuts a zone off with a controller in it, which goes on to reach the zone's machines
// and nothing else.
func (w *World) isolate(zone string, n *node, duration time.Duration) {
	w.Log("%v zone %s is cut off with %s", w.now, zone, n.name)
	w.faults.isolated = isolatedZone{zone: zone, node: n}
	for _, h := range w.hosts {
		w.faults.isolated.token = max(w.faults.isolated.token, h.token)
	}
	n.isolated = true
	since := w.now
	w.after(duration, func() {
		if w.now-since > w.leaseTime() {
			w.coverage["a zone with a controller cut off"]++
		}
		w.faults.isolated = isolatedZone{}
		n.isolated = false
		w.store.notify()
	})
}

// losePower ends all that runs in a zone, and its machines with it.
func (w *World) losePower(zone string) {
	for _, h := range w.hosts {
		if h.zone == zone && !h.gone && h.up < w.now {
			h.vanish()
		}
	}
}
