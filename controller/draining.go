package controller

import "pumicefront/wire"

// Draining: stopping tasks on machines that the cloud will reclaim.

// drain stops tasks on a machine that the cloud reclaims in leftS seconds: service replicas, which lose no work, tasks that
// can save a checkpoint, and tasks that are not expected to end in time. They restart elsewhere that much sooner.
func (l *leader) drain(m *machine, leftS float64) {
	for _, a := range m.attemptsInOrder() {
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

// maxSaveGraceS bounds the time in seconds that a stopped task gets to save a checkpoint: other work waits for its room.
const maxSaveGraceS = 120

// saveGraceS returns the time in seconds that a stopped task gets to save a checkpoint. It is 0 for a task that would need
// longer than maxSaveGraceS, which loses its progress since the last checkpoint.
func saveGraceS(j *wire.Job) float64 {
	grace := j.SaveS*1.5 + 1
	if j.CheckpointS == 0 || grace > maxSaveGraceS {
		return 0
	}
	return grace
}
