package controller

import (
	"log/slog"
	"time"

	"pumicefront/reduction"
	"pumicefront/scheduler"
	"pumicefront/zones"
)

// What a zone's loss has displaced, until it runs again: what operators see of a recovery.

// displacedTask names a task that was lost with its zone.
type displacedTask struct {
	job  string
	task int
}

// displacement is what was lost, and when.
type displacement struct {
	zone string
	at   time.Time
}

// recoveryAtMost is how long a recovery is followed: what has not restarted by then waits for
// other reasons.
const recoveryAtMost = 15 * time.Minute

// noteDisplaced notes a task that was lost with its zone.
func (z *zoneRecovery) noteDisplaced(a *attempt) {
	state := z.tracker.State(a.machine.zone)
	if a.job.cancelled || state != zones.Suspected && state != zones.Lost {
		return
	}
	z.displaced[displacedTask{a.job.id, a.task}] = displacement{a.machine.zone, z.c.now}
	z.c.emit(TaskDisplaced{Zone: a.machine.zone, Class: a.job.spec.Class, At: z.c.now})
}

// noteRestart notes that a displaced task runs again.
func (z *zoneRecovery) noteRestart(a *attempt) {
	key := displacedTask{a.job.id, a.task}
	lost, was := z.displaced[key]
	if !was {
		return
	}
	delete(z.displaced, key)
	z.c.emit(TaskRestarted{Zone: lost.zone, Class: a.job.spec.Class, Phase: z.restartPhase(a.job), Lost: lost.at, At: z.c.now})
}

// finishRecoveries ends the recovery of zones that are healthy and of which nothing waits any more.
func (z *zoneRecovery) finishRecoveries() {
	if len(z.open) == 0 {
		return
	}
	left := map[string]int{}
	for key, lost := range z.displaced {
		j := z.jobs[key.job]
		if j == nil || j.cancelled || j.state.Status(key.task) == reduction.Completed || z.c.now.Sub(lost.at) > recoveryAtMost {
			delete(z.displaced, key)
			continue
		}
		left[lost.zone]++
	}
	for _, name := range z.tracker.Names() {
		if z.open[name] && left[name] == 0 && z.tracker.State(name) == zones.Healthy {
			delete(z.open, name)
			z.c.log(slog.LevelInfo, "zone recovered", "zone", name)
			z.c.emit(ZoneRecovered{Zone: name, At: z.c.now})
		}
	}
}

// ZoneChanged tells of a change of a zone's state.
type ZoneChanged struct {
	Zone     string
	From, To zones.State
	At       time.Time
}

// TaskDisplaced tells of a task that was lost with its zone.
type TaskDisplaced struct {
	Zone, Class string
	At          time.Time
}

// TaskRestarted tells that a displaced task runs again.
type TaskRestarted struct {
	Zone, Class string
	Phase       scheduler.RestartPhase
	Lost, At    time.Time
}

// ZoneRecovered tells that a zone is healthy and that nothing of what was lost with it waits.
type ZoneRecovered struct {
	Zone string
	At   time.Time
}

// RecoveriesHandedOver tells that this controller leads no more and that zones still recover: the
// next leader goes on.
type RecoveriesHandedOver struct{ At time.Time }

// handOver tells that recoveries go on under another leader.
func (z *zoneRecovery) handOver() {
	if z != nil && len(z.open) > 0 {
		z.c.emit(RecoveriesHandedOver{At: z.c.now})
	}
}
