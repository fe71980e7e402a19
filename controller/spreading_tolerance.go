package controller

import (
	"slices"
	"time"

	"pumicefront/balance"
	"pumicefront/config"
	"pumicefront/wire"
)

// Which running tasks tolerate a move, and what it costs them.

// tolerances answers that for one plan; what holds for a whole service is found once.
type tolerances struct {
	*spreading
	up map[*job]bool
}

func newTolerances(s *spreading) *tolerances { return &tolerances{s, map[*job]bool{}} }

// serviceMoveCost is what the move of a replica costs, in seconds of its time.
const serviceMoveCost = 0.5

// of tells why an attempt's task is not to be moved, or what the move costs in seconds of its time.
func (t *tolerances) of(a *attempt) (balance.Reason, float64) {
	spec, ran := &a.job.spec, t.c.now.Sub(a.since)
	switch {
	case a.stopping || a.saving || a.job.cancelled:
		return balance.BeingStopped, 0
	case a.phase < attemptRunning:
		return balance.NotRunning, 0
	case spec.Kind == wire.KindGang:
		return balance.Gang, 0
	case a.job.origin != nil:
		return balance.OtherCells, 0
	case a.job.due.last != nil && (len(spec.Needs) > 0 || len(t.c.chains.Successors(a.job.id)) > 0):
		return balance.BoundChain, 0
	case t.movedBefore(a):
		return balance.MovedBefore, 0
	case ran < t.settings().Settled:
		return balance.Settling, 0
	case spec.Kind == wire.KindService:
		return t.ofService(a.job)
	}
	return t.ofArray(a)
}

// movedBefore reports whether a task has moved lately, or may have under an earlier leader.
func (t *tolerances) movedBefore(a *attempt) bool {
	return a.restored && t.c.now.Before(t.record.keepUntil) || t.ledger.MovedLately(t.c.now, a.moveID())
}

// ofService answers for the replicas of a service, which are moved one at a time.
func (t *tolerances) ofService(j *job) (balance.Reason, float64) {
	up, known := t.up[j]
	if !known {
		up = j.replicasUp()
		t.up[j] = up
	}
	if !up {
		return balance.ReplicaAway, 0
	}
	return balance.Movable, serviceMoveCost
}

// ofArray answers for a task of an array.
func (t *tolerances) ofArray(a *attempt) (balance.Reason, float64) {
	spec := &a.job.spec
	switch {
	case spec.CheckpointS <= 0:
		return balance.NoCheckpoints, 0
	case spec.EstimateS <= 0:
		return balance.NoEstimate, 0
	}
	cost := spec.SaveS + t.slowestFetch(spec) + min(spec.CheckpointS, t.ranAtMost(a).Seconds())
	left := spec.EstimateS - t.ranAtMost(a).Seconds()
	switch {
	case cost > left*t.settings().CostShare:
		return balance.TooDear, 0
	case t.wouldBeLate(a, cost):
		return balance.WouldBeLate, 0
	}
	return balance.Movable, cost
}

// ranAtMost is how much of a task may be done. Of what an earlier leader has placed, and of what has
// begun before, all that is known is since when it could run.
func (t *tolerances) ranAtMost(a *attempt) time.Duration {
	if a.restored || a.job.disrupted {
		return t.c.now.Sub(a.job.ready)
	}
	return t.c.now.Sub(a.since)
}

// wouldBeLate reports whether a task that loses so many seconds may miss its deadline or an aim on its
// job's finishing.
func (t *tolerances) wouldBeLate(a *attempt, cost float64) bool {
	left := t.remaining(a) + cost
	if due := a.job.due; due.last != nil && t.c.now.Add(config.Seconds(left)).After(due.at()) {
		return true
	}
	return slices.ContainsFunc(t.c.cfg.Facts.Objectives, func(o config.Objective) bool {
		within, age, applies := a.job.finishObjective(o, t.c.now)
		return applies && age+left > within
	})
}
