package controller

import "pumicefront/wire"

// Machines that the cloud will take away.

// drain moves off a machine that will be taken all that loses nothing, can save, or
// can't be expected to end in the seconds that are left: it begins again elsewhere
// that much sooner.
func (l *leader) drain(m *machine, left float64) {
	for _, a := range m.list {
		j := &a.job.spec
		if j.Kind == wire.KindService || j.CheckpointS > 0 || l.remaining(a) > left {
			l.stop(a, graceOf(j))
		}
	}
	l.wantPlacement()
}

// remaining estimates for how many seconds an attempt will go on. One that runs for
// longer than its owner thought may do so for a while.
func (l *leader) remaining(a *attempt) float64 {
	if a.phase < attemptRunning {
		return a.job.spec.EstimateS
	}
	ran := l.c.now.Sub(a.since).Seconds()
	return max(a.job.spec.EstimateS-ran, ran/4)
}

// graceOf is the time that a stopped task gets to save.
func graceOf(j *wire.Job) float64 {
	if j.CheckpointS == 0 {
		return 0
	}
	return j.SaveS*1.5 + 1
}
