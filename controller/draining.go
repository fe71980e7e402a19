package controller

import "pumicefront/wire"

// Draining: machines that the cloud will take away.

// drain stops those tasks on a machine that will be taken that lose nothing by it (services), can save a checkpoint, or
// can't be expected to end within the seconds left: they start again elsewhere that much sooner.
func (l *leader) drain(m *machine, leftS float64) {
	for _, a := range m.attemptsInOrder {
		j := &a.job.spec
		if j.Kind == wire.KindService || j.CheckpointS > 0 || l.remainingS(a) > leftS {
			l.stop(a, saveGraceS(j))
		}
	}
	l.schedulePlacement()
}

// remainingS estimates for how many more seconds an attempt will run. It is at least a quarter of the time run so
// far: a task that exceeds its owner's estimate may do so for a while.
func (l *leader) remainingS(a *attempt) float64 {
	if a.phase < attemptRunning {
		return a.job.spec.EstimateS
	}
	ran := l.c.now.Sub(a.runningSince).Seconds()
	return max(a.job.spec.EstimateS-ran, ran/4)
}

// saveGraceS is the time in seconds that a stopped task gets to save.
func saveGraceS(j *wire.Job) float64 {
	if j.CheckpointS == 0 {
		return 0
	}
	return j.SaveS*1.5 + 1
}
