// Package spanexport writes OpenTelemetry spans to where operators want them: a file, or standard error.
package spanexport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Stderr as a target stands for standard error.
const Stderr = "stderr"

// keyMember names the controller whose spans they are.
const keyMember = "member"

// flushInterval is how long an ended span may wait to be written: a process may be killed at any time, and
// what it has not written is lost.
const flushInterval = time.Second

// Exporter writes spans; it has a goroutine of its own, with a bounded queue.
type Exporter struct {
	provider *sdktrace.TracerProvider
	file     io.Closer // nil: there is none to close
}

// Open returns an exporter that writes to a file, to which it appends, or to Stderr.
func Open(target, member string) (*Exporter, error) {
	if target == Stderr {
		return New(os.Stderr, member)
	}
	file, err := os.OpenFile(target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	e, err := New(file, member)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	e.file = file
	return e, nil
}

// New returns an exporter that writes to w.
func New(w io.Writer, member string) (*Exporter, error) {
	out, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("write spans: %w", err)
	}
	return NewWithOption(sdktrace.WithBatcher(out, sdktrace.WithBatchTimeout(flushInterval)), member), nil
}

// NewWithOption returns an exporter that hands spans on as the option says; tests keep them in memory.
func NewWithOption(option sdktrace.TracerProviderOption, member string) *Exporter {
	return &Exporter{provider: sdktrace.NewTracerProvider(option, sdktrace.WithResource(resource.NewSchemaless(attribute.String(keyMember, member))))}
}

// Tracer returns what makes the spans of a package.
func (e *Exporter) Tracer(name string) trace.Tracer { return e.provider.Tracer(name) }

// Close writes what is left and closes the file. A nil exporter has nothing to write.
func (e *Exporter) Close(ctx context.Context) error {
	if e == nil {
		return nil
	}
	err := e.provider.Shutdown(ctx)
	if e.file != nil {
		err = errors.Join(err, e.file.Close())
	}
	if err != nil {
		return fmt.Errorf("write spans: %w", err)
	}
	return nil
}
