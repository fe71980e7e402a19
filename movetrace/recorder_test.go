package movetrace

import (
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"pumicefront/balance"
	"pumicefront/controller"
	"pumicefront/spanexport"
)

// Each move is a span with its steps as events; spans left open by an earlier term end in the next term.
func TestSpansOfMoves(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	r := New(spanexport.NewWithOption(sdktrace.WithSyncer(spans), "n0"))
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	step := func(job string, term uint64, s int, phase balance.Phase, outcome balance.Outcome, releaseReason balance.ReleaseReason) {
		m := balance.Move{Task: balance.Task{TaskID: balance.TaskID{Job: job, Index: 2}}, From: "a", To: "b"}
		r.Record(controller.MoveChanged{Term: term, At: start.Add(time.Duration(s) * time.Second),
			Change: balance.Change{ActiveMove: balance.ActiveMove{Move: m, Phase: phase, StartedAt: start}, Outcome: outcome, ReleaseReason: releaseReason}})
	}
	step("moved", 1, 0, balance.Stopping, "", "")
	step("left", 1, 0, balance.Stopping, "", "")
	step("moved", 1, 2, balance.Waiting, "", balance.ReleasedForUrgent)
	step("moved", 1, 5, balance.Waiting, balance.Diverted, balance.ReleasedMoveEnded)
	step("next", 2, 9, balance.Stopping, "", "")
	step("next", 2, 10, balance.Stopping, balance.Completed, balance.ReleasedMoveEnded)
	want := map[string]struct {
		took    time.Duration
		events  int
		outcome string
	}{"moved": {5 * time.Second, 3, "diverted"}, "left": {9 * time.Second, 1, outcomeLeadershipLost}, "next": {10 * time.Second, 1, "completed"}}
	for _, s := range spans.GetSpans() {
		job, outcome := "", ""
		for _, a := range s.Attributes {
			switch a.Key {
			case keyJob:
				job = a.Value.AsString()
			case keyOutcome:
				outcome = a.Value.AsString()
			}
		}
		if w := want[job]; s.EndTime.Sub(s.StartTime) != w.took || len(s.Events) != w.events || outcome != w.outcome {
			t.Errorf("%s took %v with %d events and ended as %q", job, s.EndTime.Sub(s.StartTime), len(s.Events), outcome)
		}
		delete(want, job)
	}
	if len(want) > 0 {
		t.Errorf("no spans of %v", want)
	}
	var none *Recorder
	none.Record(controller.MoveChanged{})
}
