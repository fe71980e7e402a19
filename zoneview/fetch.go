// Package zoneview shows operators the state of the zones: in a terminal, renewed while it is open,
// elsewhere as plain lines. It only reads.
package zoneview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pumicefront/zones"
)

// askTimeout bounds the wait for one controller.
const askTimeout = 2 * time.Second

// largestStatus bounds what is read of an answer.
const largestStatus = 1 << 20

// ErrNoLeader tells that controllers answered and none of them leads.
var ErrNoLeader = errors.New("no controller that was asked leads")

// Fetch asks controllers, one after the other, until one that leads answers.
func Fetch(ctx context.Context, addresses []string) (zones.Status, error) {
	var failures []error
	var last zones.Status
	answered := false
	for _, address := range addresses {
		status, err := fetchOne(ctx, address)
		switch {
		case err != nil:
			failures = append(failures, err)
		case status.Leading:
			return status, nil
		default:
			last, answered = status, true
		}
	}
	if answered {
		failures = append(failures, fmt.Errorf("%w: %s says that %q does", ErrNoLeader, last.Member, last.Leader))
	}
	return last, errors.Join(failures...)
}

func fetchOne(ctx context.Context, address string) (zones.Status, error) {
	var status zones.Status
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+zones.StatusPath, nil)
	if err != nil {
		return status, fmt.Errorf("ask %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, fmt.Errorf("ask %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, fmt.Errorf("ask %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, largestStatus)).Decode(&status); err != nil {
		return status, fmt.Errorf("answer of %s: %w", address, err)
	}
	return status, nil
}
