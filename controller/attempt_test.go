package controller

import (
	"testing"

	"pumicefront/wire"
)

// A running attempt stays in its phase when its run command is sent again, or when a
// heartbeat that arrives late shows it fetching. Otherwise it would be treated as never started,
// and its task placed again.
func TestAttemptsOnlyAdvance(t *testing.T) {
	_, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1})
	a := placeAttempt(l, j, 0, m)
	for _, step := range []struct {
		do   func()
		want attemptPhase
	}{
		{func() {}, attemptRecorded},
		{func() { l.runCommand(a) }, attemptSent},
		{func() { l.failureDetector.adoptAttempt(a, wire.TaskFetching) }, attemptReported},
		{func() { l.runCommand(a) }, attemptReported},
		{func() { l.failureDetector.adoptAttempt(a, wire.TaskRunning) }, attemptRunning},
		{func() { l.failureDetector.adoptAttempt(a, wire.TaskFetching) }, attemptRunning},
		{func() { l.runCommand(a) }, attemptRunning},
	} {
		if step.do(); a.phase != step.want {
			t.Fatalf("phase %d, want %d", a.phase, step.want)
		}
	}
}
