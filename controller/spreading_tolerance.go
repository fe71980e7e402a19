package controller

import (
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/wire"
)

// Which running tasks tolerate a move, and what the move costs them.

// moveTolerances determines the tolerances of tasks for one plan.
type moveTolerances struct {
	*spreading
	allRunning map[*job]bool // allReplicasRunning of the services checked so far
}

func newMoveTolerances(s *spreading) *moveTolerances { return &moveTolerances{s, map[*job]bool{}} }

// serviceMoveCost is what moving a replica costs, in seconds of its time.
const serviceMoveCost = 0.5

// check returns why an attempt's task must not be moved, or what the move costs in seconds of its time.
func (t *moveTolerances) check(a *attempt) (balance.Reason, float64) {
	spec, ran := &a.job.spec, t.c.now.Sub(a.runningSince)
	switch {
	case a.stopping || a.savingCheckpoint || a.job.cancelled:
		return balance.BeingStopped, 0
	case a.phase < attemptRunning:
		return balance.NotRunning, 0
	case spec.Kind == wire.KindGang:
		return balance.Gang, 0
	case a.job.origin != nil:
		return balance.OwnedByOtherCell, 0
	case a.job.deadline.fromJob != nil && (len(spec.Needs) > 0 || len(t.c.dependencies.Successors(a.job.id)) > 0):
		return balance.DeadlineChain, 0
	case t.movedRecently(a):
		return balance.RecentlyMoved, 0
	case ran < t.settings().Settled:
		return balance.RecentlyStarted, 0
	case spec.Kind == wire.KindService:
		return t.checkService(a.job)
	}
	return t.checkArray(a)
}

// movedRecently reports whether a task has moved recently, or may have moved under an earlier leader.
func (t *moveTolerances) movedRecently(a *attempt) bool {
	return a.restored && t.c.now.Before(t.record.restoredStayUntil) || t.tracker.MovedRecently(t.c.now, a.balanceTaskID())
}

// checkService checks a replica of a service; replicas are moved one at a time.
func (t *moveTolerances) checkService(j *job) (balance.Reason, float64) {
	up, known := t.allRunning[j]
	if !known {
		up = j.allReplicasRunning()
		t.allRunning[j] = up
	}
	if !up {
		return balance.ReplicaNotUp, 0
	}
	return balance.Movable, serviceMoveCost
}

// checkArray checks a task of an array.
func (t *moveTolerances) checkArray(a *attempt) (balance.Reason, float64) {
	spec := &a.job.spec
	switch {
	case spec.CheckpointS <= 0:
		return balance.NoCheckpoints, 0
	case spec.EstimateS <= 0:
		return balance.NoEstimate, 0
	}
	cost := spec.SaveS + t.slowestFetchS(spec) + min(spec.CheckpointS, t.maxRunTime(a).Seconds())
	left := spec.EstimateS - t.maxRunTime(a).Seconds()
	switch {
	case cost > left*t.settings().CostShare:
		return balance.TooCostly, 0
	case t.wouldBeLate(a, cost):
		return balance.WouldBeLate, 0
	}
	return balance.Movable, cost
}

// maxRunTime returns the longest time for which a task may have run. For an attempt placed by an earlier leader, and for
// a job that was disrupted, that is the time since the job was ready to run: no more is known.
func (t *moveTolerances) maxRunTime(a *attempt) time.Duration {
	if a.restored || a.job.disrupted {
		return t.c.now.Sub(a.job.ready)
	}
	return t.c.now.Sub(a.runningSince)
}

// wouldBeLate reports whether a task that is delayed by cost, in seconds, may miss its deadline or an objective for
// the finish time of its job.
func (t *moveTolerances) wouldBeLate(a *attempt, cost float64) bool {
	left := t.remainingS(a) + cost
	if due := a.job.deadline; due.fromJob != nil && t.c.now.Add(config.Seconds(left)).After(due.at()) {
		return true
	}
	return slices.ContainsFunc(t.c.cfg.Facts.Objectives, func(o config.Objective) bool {
		within, age, applies := a.job.finishObjective(o, t.c.now)
		return applies && age+left > within
	})
}
