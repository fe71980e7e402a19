package zonetrace

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"pumicefront/controller"
	"pumicefront/spanexport"
	"pumicefront/zones"
)

// recoveryOutputs returns the core's outputs for one complete recovery and for a second one during which
// leadership ends.
func recoveryOutputs(start time.Time) []controller.Output {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	return []controller.Output{
		controller.ZoneChanged{Zone: "a", From: zones.Healthy, To: zones.Suspected, At: at(0)},
		controller.LogRecord{},
		controller.ZoneChanged{Zone: "a", From: zones.Suspected, To: zones.Lost, At: at(8)},
		controller.TaskDisplaced{Zone: "a", Class: "web", At: at(9)},
		controller.TaskDisplaced{Zone: "a", Class: "web", At: at(10)},
		controller.TaskRestarted{Zone: "a", Class: "web", Lost: at(9), At: at(15)},
		controller.ZoneRecovered{Zone: "a", At: at(40)},
		controller.ZoneChanged{Zone: "b", From: zones.Lost, To: zones.HeldDown, At: at(50)},
		controller.RecoveriesHandedOver{At: at(60)},
	}
}

func TestSpansOfARecovery(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	r := New(spanexport.NewWithOption(sdktrace.WithSyncer(spans), "n0"))
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, o := range recoveryOutputs(start) {
		r.Record(o)
	}
	want := map[string]time.Duration{"zone suspected": 8 * time.Second, "zone lost": 32 * time.Second, "restart web": 6 * time.Second, "zone held down": 10 * time.Second}
	recoveries := 0
	for _, s := range spans.GetSpans() {
		took := s.EndTime.Sub(s.StartTime)
		if s.Name == spanRecovery {
			recoveries++
			for _, a := range s.Attributes {
				if a.Key == keyZone && (a.Value.AsString() == "a") != (took == 40*time.Second) {
					t.Errorf("the recovery of %s took %v", a.Value.AsString(), took)
				}
			}
			continue
		}
		if !s.Parent.IsValid() || took != want[s.Name] {
			t.Errorf("span %s took %v, parent %v", s.Name, took, s.Parent)
		}
		delete(want, s.Name)
	}
	if recoveries != 2 || len(want) > 0 {
		t.Errorf("%d recoveries, want 2; missing spans %v", recoveries, want)
	}
}

func TestSpansAreWritten(t *testing.T) {
	var out bytes.Buffer
	exporter, err := spanexport.New(&out, "n0")
	if err != nil {
		t.Fatal(err)
	}
	r := New(exporter)
	for _, o := range recoveryOutputs(time.Now()) {
		r.Record(o)
	}
	if err := exporter.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{spanRecovery, `"tasks_displaced"`, `"handed_over"`, `"n0"`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%s is not written", part)
		}
	}
	none := New(nil)
	none.Record(controller.ZoneRecovered{})
	if none != nil {
		t.Error("New without an exporter returned a recorder")
	}
}
