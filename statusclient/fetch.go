// Package statusclient asks controllers for their status, until one that leads answers. Every wait
// ends.
package statusclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// AskTimeout bounds the wait for one controller.
const AskTimeout = 2 * time.Second

// maxStatusBytes bounds what is read of an answer.
const maxStatusBytes = 1 << 20

// ErrNoLeader tells that controllers answered and none of them leads.
var ErrNoLeader = errors.New("no controller that was asked leads")

// NoLeaderError tells that controllers answered and none of them leads; it matches ErrNoLeader.
type NoLeaderError struct {
	AnsweredBy string // the last controller that answered
	Leader     string // the leader as far as it knows; empty: it knows none
}

// Error tells who answered last, and whom it takes for the leader.
func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("%v: %s says that %q does", ErrNoLeader, e.AnsweredBy, e.Leader)
}

// Unwrap returns ErrNoLeader.
func (e *NoLeaderError) Unwrap() error { return ErrNoLeader }

// Status is what a controller answers.
type Status interface {
	Leads() bool         // it leads, and knows the rest
	KnownLeader() string // who does, as far as it knows
	AnsweredBy() string  // its own name
}

// Fetch asks controllers for what is at a path, one after the other, until one that leads answers.
// Where none does, the error joins the failure of each controller that did not answer, and a
// *NoLeaderError if some did; the status returned is then the last one that answered.
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
	body, err := Ask(ctx, http.MethodGet, "http://"+address+path)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return status, fmt.Errorf("answer of %s: %w", address, err)
	}
	return status, nil
}

// Ask makes one request, and returns the body of an answer with 200. An answer with another
// status is a *StatusError; other errors wrap the transport's fault.
func Ask(ctx context.Context, method, target string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", target, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", target, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Target: target, Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", target, err)
	}
	return body, nil
}

// StatusError tells of an answer with another status than 200.
type StatusError struct {
	Target string // URL that was asked
	Status int    // HTTP status of the answer
	// RetryAfter is the wait that the answer asked for in Retry-After, in whole seconds; 0: none.
	RetryAfter time.Duration
}

// Error tells the target and the status: "ask http://127.0.0.1:7071/zones: status 503".
func (e *StatusError) Error() string {
	return fmt.Sprintf("ask %s: status %d", e.Target, e.Status)
}

// retryAfter reads a Retry-After header in seconds; a date, or none, gives 0.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
