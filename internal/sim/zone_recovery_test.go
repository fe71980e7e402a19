package sim

import (
	"crypto/sha256"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/scheduler"
	"pumicefront/wire"
	"pumicefront/zones"
)

// zoneLossAt is the time of the first loss of a zone in the scripted runs. Services and batches run by
// then.
const zoneLossAt = 60 * time.Second

// newZoneRun returns a run with three zones and zone recovery on, without random faults except for machines
// that are faulty or don't boot, and for lost calls to the cloud. Users submit jobs until 40 s after the loss.
func newZoneRun(seed uint64, change func(*zones.Settings)) *World {
	w := New(seed, Zoned)
	w.deterministic = true
	w.enableZoneRecovery(change)
	w.after(time.Second, func() {
		for i, zone := range w.shape.zones() { // a pinned service each, so that every zone has machines
			w.users.submitUncancelled(&simJob{spec: wire.Job{ID: fmt.Sprintf("req-00000%d", i), Class: "web", Team: "red", Kind: wire.KindService,
				Priority: "high", Tasks: 3, CPUs: 3, MemoryGB: 2, Image: "img-0", ImageGB: 1, Zone: zone, Types: []string{"small"}}, done: make([]bool, 3)})
		}
	})
	w.startUsers(zoneLossAt + 40*time.Second)
	return w
}

// runZones runs to the given time and checks that no rule was violated, that every accepted array has
// completed unless it was cancelled, and that each entry of expectedCoverage occurred.
func runZones(t *testing.T, w *World, until time.Duration, expectedCoverage ...string) {
	t.Helper()
	w.after(until-150*time.Second, func() { w.checkWaitingJobs(5 * time.Second) })
	w.Run(until)
	if len(w.Violations) == 0 {
		w.checkEnds()
		w.checkServed()
	}
	for _, r := range w.Violations {
		t.Error(r)
	}
	for _, what := range expectedCoverage {
		if w.coverage[what] == 0 {
			t.Errorf("did not occur: %s (%v)", what, w.coverage)
		}
	}
}

// zoneStates lists the states that a zone entered, in order.
func (w *World) zoneStates(zone string) []zones.State {
	var states []zones.State
	for _, c := range w.zoneHistory.changes {
		if c.Zone == zone {
			states = append(states, c.To)
		}
	}
	return states
}

// TestZoneRecovery runs scripted failures of zones with several seeds. In each run, every situation in the
// case's expectedCoverage must occur.
func TestZoneRecovery(t *testing.T) {
	cases := []struct {
		name             string
		script           func(t *testing.T, w *World)
		settings         func(*zones.Settings)
		until            time.Duration
		expectedCoverage []string
	}{
		{"zone lost and back", zoneLostAndBack, nil, 330 * time.Second, []string{"a zone is lost", "a zone is held down", "a zone is returning", "a zone is healthy", "a task that was lost with its zone runs again"}},
		{"returns before its leases end", zoneBackBeforeLeasesEnd, func(s *zones.Settings) { s.LostAfter = time.Second }, 330 * time.Second,
			[]string{"a zone is returning", "a lost zone is back while its attempts still run"}},
		{"fails again, and while starts are throttled", zoneFailsAgain, nil, 420 * time.Second, []string{"a zone is returning", "a zone fails while its starts are throttled"}},
		{"cut off with a controller", zoneCutOffWithController, nil, 330 * time.Second, []string{"a zone with a controller in it partitioned for longer than a lease", "a zone is lost"}},
		{"two zones at once", twoZonesLost, nil, 360 * time.Second, []string{"two zones are lost at once"}},
		{"power lost", zonePoweredOff, nil, 330 * time.Second, []string{"a zone is suspected"}},
		{"leader in the lost zone", leaderInLostZone, nil, 360 * time.Second, []string{"a zone is lost", "the leader is in the lost zone"}},
		{"leader crashes while starts are throttled", leaderCrashesDuringThrottledStarts, nil, 360 * time.Second, []string{"a leader crashes while starts are throttled", "a zone is healthy"}},
		{"state service out meanwhile", zoneLostInStateServiceOutage, nil, 360 * time.Second, []string{"a zone is cut off in an outage of the state service", "a zone is lost"}},
		{"hanging machines and late copies", machinesHangAfterReturn, nil, 360 * time.Second, []string{"machines of a returned zone hang", "a report from an earlier session arrives"}},
		{"no capacity elsewhere", noCapacityElsewhere, nil, 360 * time.Second, []string{"a zone is lost", "rentals are refused in the remaining zones"}},
	}
	for _, c := range cases {
		for seed := range uint64(runCount("PUMICEFRONT_ZONE_SEEDS", 3)) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				w := newZoneRun(seed, c.settings)
				if os.Getenv("PUMICEFRONT_ZONE_LOG") != "" {
					w.Log = func(f string, args ...any) { fmt.Printf(f+"\n", args...) }
				}
				c.script(t, w)
				runZones(t, w, c.until, c.expectedCoverage...)
			})
		}
	}
}

func zoneLostAndBack(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() { w.cutOffZone("a", 40*time.Second) })
}

// zoneBackBeforeLeasesEnd cuts a zone off for 8 s, less than the leases of its machines (10 s): its tasks
// still run when it returns.
func zoneBackBeforeLeasesEnd(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() { w.cutOffZone("a", 8*time.Second) })
	w.after(zoneLossAt+8*time.Second, func() {
		w.forEachRunningTask(func(h *host, task *task) {
			if h.zone == "a" && slices.Contains(w.zoneStates("a"), zones.Lost) {
				w.coverage["a lost zone is back while its attempts still run"]++
			}
		})
	})
}

// zoneFailsAgain makes a zone fail again soon after its return, and once more while its starts are still
// throttled. The second hold-down must be longer than the first.
func zoneFailsAgain(t *testing.T, w *World) {
	for _, after := range []time.Duration{0, 35 * time.Second, 75 * time.Second} {
		w.after(zoneLossAt+after, func() {
			if states := w.zoneStates("a"); after > 0 && len(states) > 0 && states[len(states)-1] == zones.Returning {
				w.coverage["a zone fails while its starts are throttled"]++
			}
			w.cutOffZone("a", 20*time.Second)
		})
	}
	t.Cleanup(func() {
		durations := w.holdDowns("a")
		if len(durations) < 2 || durations[1] < durations[0]*5/4 {
			t.Errorf("hold-downs of a zone that fails repeatedly: %v, want the second to be longer by a quarter", durations)
		}
	})
}

// holdDowns lists the durations of a zone's hold-downs, without those that another loss ended.
func (w *World) holdDowns(zone string) []time.Duration {
	var durations []time.Duration
	var since time.Time
	for _, c := range w.zoneHistory.changes {
		switch {
		case c.Zone != zone:
		case c.To == zones.HeldDown:
			since = c.At
		case c.From == zones.HeldDown && c.To == zones.Returning:
			durations = append(durations, c.At.Sub(since))
		}
	}
	return durations
}

// zoneCutOffWithController cuts a zone off with a controller in it, which continues to answer its workers
// until its authority expires. Then another controller leads.
func zoneCutOffWithController(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() { w.isolateZoneWithController("a", w.controllers[0], 30*time.Second) })
}

func twoZonesLost(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() {
		w.cutOffZone("a", 30*time.Second)
		w.cutOffZone("b", 35*time.Second)
	})
	w.after(zoneLossAt+29*time.Second, func() {
		if slices.Contains(w.zoneStates("a"), zones.Lost) && slices.Contains(w.zoneStates("b"), zones.Lost) {
			w.coverage["two zones are lost at once"]++
		}
	})
}

// zonePoweredOff ends a zone's machines for good, and the cloud refuses rentals in the zone for 30 s. Only
// newly rented machines can show that the zone is healthy.
func zonePoweredOff(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() {
		w.powerOffZone("a")
		w.cloud.refusing["a"] = true
	})
	w.after(zoneLossAt+30*time.Second, func() { w.cloud.refusing["a"] = false })
}

func leaderInLostZone(_ *testing.T, w *World) {
	w.after(zoneLossAt, func() {
		w.coverage["the leader is in the lost zone"]++
		w.isolateZoneWithController(w.largestZone(), w.leaderOrFirst(), 40*time.Second)
	})
}

// largestZone returns the zone with the most machines up.
func (w *World) largestZone() string {
	up := map[string]int{}
	for _, h := range w.hostsUp() {
		up[h.zone]++
	}
	return slices.MaxFunc(w.shape.zones(), func(a, b string) int { return up[a] - up[b] })
}

func leaderCrashesDuringThrottledStarts(_ *testing.T, w *World) {
	zoneLostAndBack(nil, w)
	var crashOnReturn func()
	crashOnReturn = func() {
		if states := w.zoneStates("a"); len(states) == 0 || states[len(states)-1] != zones.Returning {
			w.after(100*time.Millisecond, crashOnReturn)
			return
		}
		w.coverage["a leader crashes while starts are throttled"]++
		w.leaderOrFirst().crash(5 * time.Second)
	}
	w.after(zoneLossAt, crashOnReturn)
}

func zoneLostInStateServiceOutage(t *testing.T, w *World) {
	w.after(zoneLossAt, func() { w.cutOffZone("a", 40*time.Second) })
	w.after(zoneLossAt+time.Second, func() {
		w.store.setOutage(true)
		w.coverage["a zone is cut off in an outage of the state service"]++
	})
	w.after(zoneLossAt+16*time.Second, func() {
		if slices.Contains(w.zoneStates("a"), zones.Lost) {
			t.Error("a zone was declared lost while the state service was unavailable")
		}
		w.store.setOutage(false)
	})
}

// machinesHangAfterReturn hangs a third of the zone's machines right after their return, while delayed
// duplicates of old reports arrive.
func machinesHangAfterReturn(_ *testing.T, w *World) {
	w.faults.duplicateReports = 0.3
	w.after(zoneLossAt, func() { w.cutOffZone("a", 22*time.Second) })
	w.after(zoneLossAt+23*time.Second, func() {
		inZone := slices.DeleteFunc(w.hostsUp(), func(h *host) bool { return h.zone != "a" })
		for i, h := range inZone {
			if i%3 == 0 {
				w.coverage["machines of a returned zone hang"]++
				h.setHung(true)
				w.after(25*time.Second, func() { h.setHung(false) })
			}
		}
	})
	w.after(zoneLossAt+70*time.Second, func() { w.faults.duplicateReports = 0 })
}

func noCapacityElsewhere(_ *testing.T, w *World) {
	zoneLostAndBack(nil, w)
	w.after(zoneLossAt, func() {
		for _, zone := range []string{"b", "c"} {
			w.cloud.refusing[zone] = true
		}
		w.coverage["rentals are refused in the remaining zones"]++
	})
	w.after(zoneLossAt+60*time.Second, func() { clear(w.cloud.refusing) })
}

// runPinnedJob runs a deployment in which the 200 tasks of an array that is pinned to a lost zone wait
// for its return. It returns the largest number of machines in the zone that fetched at once afterwards,
// and when the first task of the array ended.
func runPinnedJob(t *testing.T, enabled bool) (maxFetching int, firstEnd time.Duration) {
	t.Helper()
	shape := Zoned
	shape.Machines, shape.Scale = 240, 60
	w := New(1, shape)
	w.deterministic = true
	if enabled {
		w.enableZoneRecovery(nil)
	}
	pinned := &simJob{spec: wire.Job{ID: "req-000001", Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 200,
		CPUs: 4, MemoryGB: 2, Image: "img-9", ImageGB: 1, Zone: "a"}, runTime: 3 * time.Second, done: make([]bool, 200)}
	service := &simJob{spec: wire.Job{ID: "req-000002", Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 12,
		CPUs: 2, MemoryGB: 2, Image: "img-1", ImageGB: 1, Spread: true}, done: make([]bool, 12)}
	filler := &simJob{spec: wire.Job{ID: "req-000003", Class: "bulk", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 160,
		CPUs: 4, MemoryGB: 2, Image: "img-2", ImageGB: 1, Zone: "a"}, runTime: 100 * time.Second, done: make([]bool, 160)}
	w.after(time.Second, func() { w.users.submitUncancelled(service); w.users.submitUncancelled(filler) })
	w.after(zoneLossAt, func() { w.cutOffZone("a", 40*time.Second) })
	w.after(zoneLossAt+30*time.Second, func() { w.users.submitUncancelled(pinned); w.zoneHistory.maxFetching = nil })
	w.Run(zoneLossAt + 5*time.Minute)
	for _, r := range w.Violations {
		t.Error(r)
	}
	if pinned.tasksLeft() > 0 || filler.tasksLeft() > 0 {
		t.Errorf("%d and %d tasks pinned to the zone are unfinished", pinned.tasksLeft(), filler.tasksLeft())
	}
	return w.zoneHistory.maxFetching["a"], pinned.firstTaskEnd
}

// TestJobPinnedToLostZone: a job that can only run in the returning zone completes there. Zone recovery
// throttles the starts in the zone at first, so that fewer machines fetch at once than without it.
func TestJobPinnedToLostZone(t *testing.T) {
	without, _ := runPinnedJob(t, false)
	with, _ := runPinnedJob(t, true)
	if with == 0 || with >= without {
		t.Errorf("%d machines of the returning zone fetched at once, %d without zone recovery", with, without)
	}
}

// TestServicesRestartFirst: when the remaining zones have little capacity, services of a lost zone restart
// before its batches, whichever were submitted first.
func TestServicesRestartFirst(t *testing.T) {
	services, batches := []time.Duration{}, []time.Duration{}
	for seed := range uint64(4) {
		w := newZoneRun(seed, nil)
		noCapacityElsewhere(t, w)
		runZones(t, w, 360*time.Second, "a task that was lost with its zone runs again")
		restarts := w.zoneHistory.restarts
		services = append(services, restarts[scheduler.RestartProdServices]...)
		batches = append(append(batches, restarts[scheduler.RestartDeadlineBatches]...), restarts[scheduler.RestartRest]...)
	}
	if len(services) == 0 || len(batches) == 0 {
		t.Fatalf("%d service tasks and %d batch tasks restarted", len(services), len(batches))
	}
	if s, b := median(services), median(batches); s >= b {
		t.Errorf("half of the service tasks restarted by %v, half of the batch tasks by %v", s, b)
	}
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2]
}

// TestLeaderFaultIsNotZoneLoss: a leader must not declare a zone lost when the leader itself is cut off from
// the workers or from everything, is refused by the state service, or pauses.
func TestLeaderFaultIsNotZoneLoss(t *testing.T) {
	for name, cut := range map[string]func(w *World, n *member){
		"cut off from workers":     func(_ *World, n *member) { n.cutFromWorkers = true },
		"refused by state service": func(_ *World, n *member) { n.stateRefused = true },
		"isolated":                 func(_ *World, n *member) { n.cutFromWorkers, n.cutFromStateAndPeers = true, true },
		"paused":                   func(_ *World, n *member) { n.pause(15 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newZoneRun(5, nil)
			w.after(zoneLossAt, func() { cut(w, w.leaderOrFirst()) })
			w.Run(zoneLossAt + 40*time.Second)
			for _, c := range w.zoneHistory.changes {
				if c.To != zones.Suspected && c.To != zones.Healthy {
					t.Errorf("zone %s became %s", c.Zone, c.To)
				}
			}
			for _, r := range w.Violations {
				t.Error(r)
			}
		})
	}
}

// TestZoneFaults runs with losses of zones among other random faults. PUMICEFRONT_ZONE_RUNS sets the
// number of runs.
func TestZoneFaults(t *testing.T) {
	for seed := range uint64(runCount("PUMICEFRONT_ZONE_RUNS", 12)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, Zoned)
			w.enableZoneRecovery(nil)
			for at := 30 * time.Second; at < faultPhase-30*time.Second; at += w.between(20*time.Second, 50*time.Second) {
				zone := w.shape.zones()[w.rng.IntN(3)]
				loss := w.between(4*time.Second, 30*time.Second)
				w.after(at, func() { w.cutOffZone(zone, loss) })
			}
			w.after(faultPhase, func() { w.checkWaitingJobs(5 * time.Second) })
			RunFaults(w, faultPhase, recoveryPhase+60*time.Second)
			reportViolations(t, seed, w)
		})
	}
}

// TestZoneRecoveryOffChangesNothing: without the zone_recovery block in the operators' settings, zone
// recovery must not change any decision. The hashes cover the complete logs of runs at commit ca6fa4c, which
// has no zone recovery. A later, intended change of decisions changes them as well. In that case, first
// check them at the commit before that change, and then update them. The hashes of Chains seed 1 and Grown
// seeds 0 and 1 are those of the commit since which failures count against a machine only once the job has
// run elsewhere (these runs have faulty machines); at its parent the original hashes still held.
func TestZoneRecoveryOffChangesNothing(t *testing.T) {
	for _, c := range []struct {
		shape Shape
		seed  uint64
		want  string
	}{
		{Small, 0, "d0104c5f689c297c"}, {Small, 1, "ee7e725854373fb6"},
		{GPUs, 0, "cbe8210bd1513341"}, {GPUs, 1, "6e85f8d078171ce3"},
		{Chains, 0, "0ecd4b35b8088a14"}, {Chains, 1, "bb4f8413bd5dc77d"},
		{Grown, 0, "94d93ef3bcdef57b"}, {Grown, 1, "60082a4d49e544a6"},
	} {
		hash := sha256.New()
		w := New(c.seed, c.shape)
		w.Log = func(f string, args ...any) { fmt.Fprintf(hash, f+"\n", args...) }
		RunFaults(w, 80*time.Second, 20*time.Second)
		if got := fmt.Sprintf("%x", hash.Sum(nil)[:8]); got != c.want {
			t.Errorf("%+v seed %d: %s, want %s", c.shape, c.seed, got, c.want)
		}
	}
}

// TestZoneStatus: only the leader answers with the status of the zones, and it answers at once.
func TestZoneStatus(t *testing.T) {
	w := newZoneRun(1, nil)
	w.after(zoneLossAt, func() { w.cutOffZone("a", 30*time.Second) })
	w.Run(zoneLossAt + 15*time.Second)
	leaders := 0
	for _, n := range w.controllers {
		n.ask(func(req uint64) controller.Input { return controller.ZoneStatusRequest{Req: req} }, func(a controller.Answer) {
			s := a.Body.(zones.Status)
			if !s.Leading {
				return
			}
			leaders++
			if len(s.Zones) != 3 || s.Zones[0].State != zones.Lost || s.Zones[0].Silent < 2 || s.Zones[1].State != zones.Healthy {
				t.Errorf("unexpected status while zone a is lost: %+v", s)
			}
		})
	}
	if leaders != 1 {
		t.Errorf("%d controllers answered as the leader with the status of zones, want 1", leaders)
	}
}
