package client

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Service is the kind of endpoint that a call goes to.
type Service string

// The services and machines that a controller calls.
const (
	StateService Service = "state service"
	Cloud        Service = "cloud"
	Worker       Service = "worker"
)

// Operation is the name of a call as it appears in error messages.
type Operation string

// The operations that a controller calls.
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

// The kinds of call failure. A *CallError matches exactly one of them with errors.Is.
var (
	// ErrNoResponse means that no complete response arrived: the call may have executed, or may still
	// execute later.
	ErrNoResponse = errors.New("no response")
	// ErrMalformedResponse means a response with status 200 whose body could not be decoded.
	ErrMalformedResponse = errors.New("malformed response")
	// ErrNotFound means status 404: the key does not exist, or the lease has expired.
	ErrNotFound = errors.New("not found")
	// ErrConditionFailed means status 409 from the state service: the conditions of a compare-and-swap
	// did not hold, and nothing was changed.
	ErrConditionFailed = errors.New("condition failed")
	// ErrFenced means status 409 from a worker: the fencing token is lower than the highest that the
	// worker has seen, or the session does not match, and nothing was executed.
	ErrFenced = errors.New("fenced")
	// ErrCompacted means status 410 for a watch: the state service no longer keeps the revision to start
	// after.
	ErrCompacted = errors.New("revision compacted")
	// ErrRateLimited means status 429: the rate limit of the service was exceeded, and the call was not
	// executed.
	ErrRateLimited = errors.New("rate limited")
	// ErrUnavailable means status 503: the call was not executed (an outage of the state service, or no
	// capacity in the cloud).
	ErrUnavailable = errors.New("unavailable")
	// ErrRefused means a response with any other status than 200 and those above.
	ErrRefused = errors.New("refused")
)

// CallError describes a call that did not return a decodable response with status 200.
type CallError struct {
	Service Service   // kind of endpoint
	Op      Operation // operation that was called
	Method  string    // HTTP method
	Target  string    // URL of the call: endpoint, path and query
	// Status is the HTTP status of the response; 0: no response.
	Status int
	// RetryAfter is the delay from the response's Retry-After header, in whole seconds; 0: none.
	RetryAfter time.Duration
	// Kind is one of the errors above.
	Kind error
	// Err is the underlying error of the transport or the decoder; nil if there is none.
	Err error
}

// Error names the service, the operation, the target and the failure:
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

// Unwrap returns the kind and the underlying error, so that errors.Is and errors.As find both.
func (e *CallError) Unwrap() []error {
	wrapped := []error{e.Kind}
	if e.Err != nil {
		wrapped = append(wrapped, e.Err)
	}
	return wrapped
}

// statusKind returns the kind of error for a response whose status is not 200.
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

// replyStatus returns the status that the core receives for a call: 200 without an error, 0 if there was
// no response or one with status 200 could not be decoded, and the status of the response otherwise.
func replyStatus(err error) int {
	var callErr *CallError
	switch {
	case err == nil:
		return http.StatusOK
	case !errors.As(err, &callErr), errors.Is(err, ErrNoResponse), errors.Is(err, ErrMalformedResponse):
		return 0
	}
	return callErr.Status
}
