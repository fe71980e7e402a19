package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Service is what a call goes to.
type Service string

// The services and machines that a controller calls.
const (
	StateService Service = "state service"
	Cloud        Service = "cloud"
	Worker       Service = "worker"
)

// Operation names a call in errors.
type Operation string

// The calls of a controller.
const (
	OpGet          Operation = "get"
	OpRange        Operation = "range read"
	OpTransaction  Operation = "transaction"
	OpGrantLease   Operation = "grant lease"
	OpRenewLease   Operation = "renew lease"
	OpRevokeLease  Operation = "revoke lease"
	OpWatch        Operation = "watch"
	OpMachineTypes Operation = "list machine types"
	OpListMachines Operation = "list machines"
	OpScaleOut     Operation = "scale out"
	OpScaleIn      Operation = "scale in"
	OpCommands     Operation = "send commands"
)

// The kinds of failed call. A *CallError matches one of them with errors.Is.
var (
	// ErrNoAnswer tells that no answer came: the call may have run, or may still run later.
	ErrNoAnswer = errors.New("no answer")
	// ErrUnreadable tells of an answer with 200 whose body could not be decoded.
	ErrUnreadable = errors.New("answer unreadable")
	// ErrNotFound tells of 404: no such key, or a lease that expired.
	ErrNotFound = errors.New("not found")
	// ErrConditionFailed tells of 409 of the state service: a compare-and-swap whose conditions did
	// not hold, and nothing was changed.
	ErrConditionFailed = errors.New("condition failed")
	// ErrFenced tells of 409 of a worker: the fencing token is lower than the highest it has seen,
	// or the agent epoch does not match, and nothing was executed.
	ErrFenced = errors.New("fenced")
	// ErrCompacted tells of 410 of a watch: the revision to start after is older than the service keeps.
	ErrCompacted = errors.New("revision compacted")
	// ErrRateLimited tells of 429: above the rate that the service allows, and the call did not run.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnavailable tells of 503: the call did not run (an outage of the state service, no capacity
	// in the cloud).
	ErrUnavailable = errors.New("unavailable")
	// ErrRefused tells of an answer with any other status than 200 and those above.
	ErrRefused = errors.New("refused")
)

// CallError tells of a call that did not end in an answer with 200 that could be read.
type CallError struct {
	Service Service   // what was called
	Op      Operation // which call
	Method  string    // HTTP method
	Target  string    // URL of the call: endpoint, path and query
	// Status is that of the answer; 0: no answer came.
	Status int
	// RetryAfter is the wait that the answer asked for in Retry-After, in whole seconds; 0: none.
	RetryAfter time.Duration
	// Kind is one of the errors above.
	Kind error
	// Err is the fault of the transport or the decoder, if there is one.
	Err error
}

// Error tells the service, the call, its target and what went wrong:
// "state service transaction POST http://10.0.0.5:2379/multi: status 409: condition failed".
func (e *CallError) Error() string {
	text := fmt.Sprintf("%s %s %s %s: ", e.Service, e.Op, e.Method, e.Target)
	if e.Status != 0 {
		text += "status " + strconv.Itoa(e.Status) + ": "
	}
	text += e.Kind.Error()
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the kind and the fault, so that errors.Is and errors.As find both.
func (e *CallError) Unwrap() []error {
	wrapped := []error{e.Kind}
	if e.Err != nil {
		wrapped = append(wrapped, e.Err)
	}
	return wrapped
}

// statusKind is the kind of an answer with a status other than 200.
func statusKind(service Service, status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict && service == StateService:
		return ErrConditionFailed
	case status == http.StatusConflict && service == Worker:
		return ErrFenced
	case status == http.StatusGone && service == StateService:
		return ErrCompacted
	case status == http.StatusTooManyRequests:
		return ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return ErrRefused
}

// replyStatus is the status that the core is told of a call: 200 without an error, that of the
// answer otherwise, and 0 where no answer came or one with 200 could not be read.
func replyStatus(err error) int {
	var failed *CallError
	switch {
	case err == nil:
		return http.StatusOK
	case !errors.As(err, &failed), errors.Is(err, ErrNoAnswer), errors.Is(err, ErrUnreadable):
		return 0
	}
	return failed.Status
}

// retryAfter reads a Retry-After header in seconds; a date, or none, gives 0.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
