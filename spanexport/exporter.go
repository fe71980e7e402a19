// Package spanexport writes OpenTelemetry spans to a file or to standard error.
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

// Stderr is the target that means standard error.
const Stderr = "stderr"

// keyMember is the resource attribute for the name of the controller that the spans come from.
const keyMember = "member"

// flushInterval bounds how long an ended span waits to be written: the process may be killed at any time, and
// spans that have not been written are lost.
const flushInterval = time.Second

// Exporter writes spans. Exporters made with New or Open write in a separate goroutine with a bounded queue.
type Exporter struct {
	provider *sdktrace.TracerProvider
	file     io.Closer // closed by Close; nil: none
}

// Open returns an exporter that appends to the file named target, or writes to standard error if target is
// Stderr.
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

// NewWithOption returns an exporter with the given span processing; tests use it to keep spans in memory.
func NewWithOption(option sdktrace.TracerProviderOption, member string) *Exporter {
	return &Exporter{provider: sdktrace.NewTracerProvider(option, sdktrace.WithResource(resource.NewSchemaless(attribute.String(keyMember, member))))}
}

// Tracer returns the tracer with the given instrumentation name.
func (e *Exporter) Tracer(name string) trace.Tracer { return e.provider.Tracer(name) }

// Close writes the remaining spans and closes the file. On a nil Exporter it does nothing.
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
