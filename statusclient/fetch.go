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
	"time"
)

// AskTimeout bounds the wait for one controller.
const AskTimeout = 2 * time.Second

// largestStatus bounds what is read of an answer.
const largestStatus = 1 << 20

// ErrNoLeader tells that controllers answered and none of them leads.
var ErrNoLeader = errors.New("no controller that was asked leads")

// Status is what a controller answers.
type Status interface {
	Leads() bool         // it leads, and knows the rest
	KnownLeader() string // who does, as far as it knows
	AnsweredBy() string  // its own name
}

// Fetch asks controllers for what is at a path, one after the other, until one that leads answers.
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
		failures = append(failures, fmt.Errorf("%w: %s says that %q does", ErrNoLeader, last.AnsweredBy(), last.KnownLeader()))
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

// Ask makes one request, and returns the body of an answer with 200.
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
		return nil, fmt.Errorf("ask %s: status %d", target, resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, largestStatus))
	if err != nil {
		return nil, fmt.Errorf("answer of %s: %w", target, err)
	}
	return body, nil
}
