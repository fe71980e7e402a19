// Package zonetrace records zone recoveries as OpenTelemetry spans: one span for each recovery, from
// suspicion to the last restart, with child spans for each state of the zone and for the restarts of
// each class of jobs.
package zonetrace

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pumicefront/controller"
	"pumicefront/spanexport"
	"pumicefront/zones"
)

// Names and name prefixes of spans, and keys of attributes.
const (
	spanRecovery = "zone recovery"
	spanState    = "zone "
	spanRestart  = "restart "

	keyZone       = "zone"
	keyResumed    = "resumed"     // started under an earlier leader
	keyHandedOver = "handed_over" // continues under another leader
	keyDisplaced  = "tasks_displaced"
	keyRestarted  = "tasks_restarted"
)

// Recorder converts outputs of the core into spans. A nil Recorder records nothing. It must be used by one
// goroutine only.
type Recorder struct {
	tracer     trace.Tracer
	recoveries map[string]*recovery
}

// recovery holds the spans of a zone recovery in progress.
type recovery struct {
	ctx     context.Context // contains span, the parent of the other spans
	span    trace.Span
	state   trace.Span
	classes map[string]*classRestarts
}

// classRestarts counts the displaced and restarted tasks of one class of jobs.
type classRestarts struct {
	span                 trace.Span
	displaced, restarted int
	lastRestart          time.Time
}

// New returns a recorder whose spans go to the exporter. Without an exporter it returns nil.
func New(e *spanexport.Exporter) *Recorder {
	if e == nil {
		return nil
	}
	return &Recorder{tracer: e.Tracer("pumicefront/zonetrace"), recoveries: map[string]*recovery{}}
}

// Record records an output of the core. Outputs that are not about zones are ignored.
func (r *Recorder) Record(o controller.Output) {
	if r == nil {
		return
	}
	switch o := o.(type) {
	case controller.ZoneChanged:
		r.recordZoneChange(o)
	case controller.TaskDisplaced:
		r.findOrStartClass(o.Zone, o.Class, o.At).displaced++
	case controller.TaskRestarted:
		restarts := r.findOrStartClass(o.Zone, o.Class, o.Lost)
		restarts.restarted++
		restarts.lastRestart = o.At
	case controller.ZoneRecovered:
		r.endRecovery(o.Zone, o.At)
	case controller.RecoveriesHandedOver:
		for zone, recovery := range r.recoveries {
			recovery.span.SetAttributes(attribute.Bool(keyHandedOver, true))
			r.endRecovery(zone, o.At)
		}
	}
}

// findOrStartRecovery returns the recovery of a zone, and starts its span if there is none.
func (r *Recorder) findOrStartRecovery(zone string, at time.Time) *recovery {
	found := r.recoveries[zone]
	if found == nil {
		ctx, span := r.tracer.Start(context.Background(), spanRecovery, trace.WithTimestamp(at), trace.WithAttributes(attribute.String(keyZone, zone)))
		found = &recovery{ctx: ctx, span: span, classes: map[string]*classRestarts{}}
		r.recoveries[zone] = found
	}
	return found
}

// recordZoneChange ends the span of the zone's previous state and starts the span of the new one.
func (r *Recorder) recordZoneChange(c controller.ZoneChanged) {
	recovery := r.findOrStartRecovery(c.Zone, c.At)
	if recovery.state == nil && c.From != zones.Healthy {
		recovery.span.SetAttributes(attribute.Bool(keyResumed, true))
	}
	if recovery.state != nil {
		recovery.state.End(trace.WithTimestamp(c.At))
	}
	_, recovery.state = r.tracer.Start(recovery.ctx, spanState+c.To.String(), trace.WithTimestamp(c.At))
}

// findOrStartClass returns the restarts of a class in the recovery of a zone, and starts their span if there
// is none.
func (r *Recorder) findOrStartClass(zone, class string, at time.Time) *classRestarts {
	recovery := r.findOrStartRecovery(zone, at)
	restarts := recovery.classes[class]
	if restarts == nil {
		_, span := r.tracer.Start(recovery.ctx, spanRestart+class, trace.WithTimestamp(at))
		restarts = &classRestarts{span: span, lastRestart: at}
		recovery.classes[class] = restarts
	}
	return restarts
}

// endRecovery ends all spans of a zone's recovery.
func (r *Recorder) endRecovery(zone string, at time.Time) {
	recovery := r.recoveries[zone]
	if recovery == nil {
		return
	}
	delete(r.recoveries, zone)
	for _, restarts := range recovery.classes {
		restarts.span.SetAttributes(attribute.Int(keyDisplaced, restarts.displaced), attribute.Int(keyRestarted, restarts.restarted))
		restarts.span.End(trace.WithTimestamp(restarts.lastRestart))
	}
	if recovery.state != nil {
		recovery.state.End(trace.WithTimestamp(at))
	}
	recovery.span.End(trace.WithTimestamp(at))
}
