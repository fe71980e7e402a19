package controller

import (
	"log/slog"
	"time"

	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/zones"
)

// Tasks displaced by the loss of a zone, tracked until they run again so that operators can observe
// the recovery.

// displacedTask identifies a task that was lost with its zone.
type displacedTask struct {
	job  string
	task int
}

// displacement is the zone that a task was lost with, and when.
type displacement struct {
	zone string
	at   time.Time
}

// maxRecoveryTime is how long a displaced task is tracked. A task that has not restarted by then
// is assumed to wait for reasons other than the loss of its zone.
const maxRecoveryTime = 15 * time.Minute

// recordDisplacement records a task that was lost with its machine, if the machine's zone is suspected or lost. Tasks of
// cancelled jobs are not tracked, because they do not restart.
func (z *zoneRecovery) recordDisplacement(a *attempt) {
	state := z.tracker.State(a.machine.zone)
	if a.job.cancelled || state != zones.Suspected && state != zones.Lost {
		return
	}
	z.displaced[displacedTask{a.job.id, a.task}] = displacement{a.machine.zone, z.c.now}
	z.c.emit(TaskDisplaced{Zone: a.machine.zone, Class: a.job.spec.Class, At: z.c.now})
}

// recordRestart emits TaskRestarted for a displaced task that runs again, and stops tracking it.
func (z *zoneRecovery) recordRestart(a *attempt) {
	key := displacedTask{a.job.id, a.task}
	lost, tracked := z.displaced[key]
	if !tracked {
		return
	}
	delete(z.displaced, key)
	z.c.emit(TaskRestarted{Zone: lost.zone, Class: a.job.spec.Class, Phase: z.restartPhase(a.job), Lost: lost.at, At: z.c.now})
}

// finishRecoveries ends the recovery of zones that are healthy and have no displaced task left that
// waits to restart.
func (z *zoneRecovery) finishRecoveries() {
	if len(z.unfinishedRecoveries) == 0 {
		return
	}
	displacedByZone := map[string]int{}
	for key, lost := range z.displaced {
		j := z.jobs[key.job]
		if j == nil || j.cancelled || j.state.Status(key.task) == reduction.Completed || z.c.now.Sub(lost.at) > maxRecoveryTime {
			delete(z.displaced, key)
			continue
		}
		displacedByZone[lost.zone]++
	}
	for _, name := range z.tracker.Names() {
		if z.unfinishedRecoveries[name] && displacedByZone[name] == 0 && z.tracker.State(name) == zones.Healthy {
			delete(z.unfinishedRecoveries, name)
			z.c.log(slog.LevelInfo, "zone recovered", "zone", name)
			z.c.emit(ZoneRecovered{Zone: name, At: z.c.now})
		}
	}
}

// The following types are outputs of the core. The server records them in the zone trace.

// ZoneChanged reports a change of a zone's state.
type ZoneChanged struct {
	Zone     string
	From, To zones.State
	At       time.Time
}

// TaskDisplaced reports a task that was lost with its zone.
type TaskDisplaced struct {
	Zone, Class string
	At          time.Time
}

// TaskRestarted reports that a displaced task runs again.
type TaskRestarted struct {
	Zone, Class string
	Phase       scheduler.RestartPhase
	Lost, At    time.Time // when the task was lost, and when its restart was observed
}

// ZoneRecovered reports that a zone is healthy and that no task lost with it still waits to restart.
type ZoneRecovered struct {
	Zone string
	At   time.Time
}

// RecoveriesHandedOver reports that this controller no longer leads while zones still recover. The
// next leader continues their recovery.
type RecoveriesHandedOver struct{ At time.Time }

// handOverRecoveries emits RecoveriesHandedOver if any recovery is unfinished when this controller stops
// leading.
func (z *zoneRecovery) handOverRecoveries() {
	if z != nil && len(z.unfinishedRecoveries) > 0 {
		z.c.emit(RecoveriesHandedOver{At: z.c.now})
	}
}
