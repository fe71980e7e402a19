// Package movetrace records moves of running tasks as OpenTelemetry spans: one span for each move, with an
// event for each step, in the order in which the leader observed them.
package movetrace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pumicefront/balance"
	"pumicefront/controller"
	"pumicefront/spanexport"
)

// Names of spans and events, and keys and values of attributes.
const (
	spanMove                 = "move"
	eventReservationReleased = "held room is given up"

	keyJob     = "job"
	keyTask    = "task"
	keyFrom    = "from"
	keyTo      = "to"
	keyTerm    = "term"
	keyGain    = "gain"
	keyOutcome = "outcome"
	keyReason  = "reason"

	outcomeLeadershipLost = "its leader leads no more"
)

// Recorder converts steps of moves into spans. A nil Recorder records nothing. It must be used by one
// goroutine only.
type Recorder struct {
	tracer trace.Tracer
	moves  map[balance.TaskID]moveSpan
}

// moveSpan is the span of an active move, and the term in which the span was started: the fencing token that the leader
// had when it was elected.
type moveSpan struct {
	span trace.Span
	term uint64
}

// New returns a recorder whose spans go to the exporter. Without an exporter it returns nil.
func New(e *spanexport.Exporter) *Recorder {
	if e == nil {
		return nil
	}
	return &Recorder{tracer: e.Tracer("pumicefront/movetrace"), moves: map[balance.TaskID]moveSpan{}}
}

// Record records a step of a move. The step that has an outcome ends the span.
func (r *Recorder) Record(c controller.MoveChanged) {
	if r == nil {
		return
	}
	m := r.findOrStartMove(c)
	at := trace.WithTimestamp(c.At)
	if c.ReleaseReason != "" && c.ReleaseReason != balance.ReleasedMoveEnded {
		m.span.AddEvent(eventReservationReleased, at, trace.WithAttributes(attribute.String(keyReason, string(c.ReleaseReason))))
	}
	if c.Outcome == "" {
		m.span.AddEvent(c.Phase.String(), at)
		return
	}
	m.span.SetAttributes(attribute.String(keyOutcome, string(c.Outcome)))
	m.span.End(at)
	delete(r.moves, c.TaskID)
}

// findOrStartMove returns the span of the move that a step belongs to, and starts it if there is none. Spans
// left open by an earlier term of this controller end at the first step in a later term.
func (r *Recorder) findOrStartMove(c controller.MoveChanged) moveSpan {
	for id, open := range r.moves {
		if open.term != c.Term {
			open.span.SetAttributes(attribute.String(keyOutcome, outcomeLeadershipLost))
			open.span.End(trace.WithTimestamp(c.At))
			delete(r.moves, id)
		}
	}
	found, known := r.moves[c.TaskID]
	if !known {
		_, span := r.tracer.Start(context.Background(), spanMove, trace.WithTimestamp(c.StartedAt), trace.WithAttributes(
			attribute.String(keyJob, c.Job), attribute.Int(keyTask, c.Index), attribute.String(keyFrom, c.From), attribute.String(keyTo, c.To),
			attribute.Int64(keyTerm, int64(c.Term)), attribute.Float64(keyGain, c.Gain)))
		found = moveSpan{span, c.Term}
		r.moves[c.TaskID] = found
	}
	return found
}
