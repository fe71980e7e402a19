// Package statusclient fetches a status from the leader among a list of controllers. Every request has a
// timeout.
package statusclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pumicefront/internal/httpheader"
)

// RequestTimeout bounds the request to one controller.
const RequestTimeout = 2 * time.Second

// maxStatusBytes bounds how much of a response body is read.
const maxStatusBytes = 1 << 20

// ErrNoLeader means that at least one controller responded, but none of them is the leader.
var ErrNoLeader = errors.New("none of the queried controllers is the leader")

// NoLeaderError reports that at least one controller responded, but none of them is the leader. It matches
// ErrNoLeader.
type NoLeaderError struct {
	AnsweredBy string // the last controller that responded
	Leader     string // the leader that this controller reported; empty: it knows of none
}

// Error names the controller that responded last and the leader that it reported.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("%v: %s reports leader %q", ErrNoLeader, e.AnsweredBy, e.Leader)
}

// Unwrap returns ErrNoLeader.
func (e *NoLeaderError) Unwrap() error { return ErrNoLeader }

// Status is the status that a controller returns.
type Status interface {
	Leads() bool         // whether the controller is the leader; only a leader's status is complete
	KnownLeader() string // the leader that the controller knows of; empty: none
	AnsweredBy() string  // the name of the controller
}

// Fetch requests the status at a path from each controller in turn, until the leader responds. If none of
// them is the leader, the error joins the failures of the controllers that did not respond and, if at
// least one did, a *NoLeaderError; the returned status is then that of the last one that responded.
func Fetch[S Status](ctx context.Context, addresses []string, path string) (S, error) {
	var failures []error
	var last S
	answered := false
	for _, address := range addresses {
		status, err := fetchOne[S](ctx, address, path)
		switch {
		case err != nil:
			failures = append(failures, err)
		case status.Leads():
			return status, nil
		default:
			last, answered = status, true
		}
	}
	if answered {
		failures = append(failures, &NoLeaderError{AnsweredBy: last.AnsweredBy(), Leader: last.KnownLeader()})
	}
	return last, errors.Join(failures...)
}

func fetchOne[S Status](ctx context.Context, address, path string) (S, error) {
	var status S
	body, err := SendRequest(ctx, http.MethodGet, "http://"+address+path)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return status, fmt.Errorf("decode response of %s: %w", address, err)
	}
	return status, nil
}

// SendRequest sends one request and returns the body of a response with status 200. A response with another status
// gives a *StatusError; other errors wrap the transport's error.
func SendRequest(ctx context.Context, method, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", target, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", target, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Target: target, Status: resp.StatusCode, RetryAfter: httpheader.RetryAfter(resp.Header)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("read response of %s: %w", target, err)
	}
	return body, nil
}

// StatusError reports a response with another status than 200.
type StatusError struct {
	Target string // URL of the request
	Status int    // HTTP status of the response
	// RetryAfter is the delay from the response's Retry-After header, in whole seconds; 0: none.
	RetryAfter time.Duration
}

// Error names the target and the status: "request http://127.0.0.1:7071/zones: status 503".
func (e *StatusError) Error() string {
	return fmt.Sprintf("request %s: status %d", e.Target, e.Status)
}
