// Package client makes the HTTP calls of a controller: to the state service,
// the cloud and the workers. Every call has a deadline and is sent once.
package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

const maxAnswer = 16 << 20

// Client calls the services at fixed addresses and workers at any.
type Client struct {
	state, cloud string
	services     *http.Client
	workers      *http.Client
	calling      chan struct{} // one for each call of a worker under way
	asking       chan struct{} // one for each of those that only ask for a report
	entitled     func() bool   // whether the core may act for the controllers now
}

// New returns a client; conns bounds the connections to workers. A new leader
// asks every machine at once: without a bound it would have no socket left for
// the state service, whose connections are kept apart for the same reason.
//
// Only a leader calls workers and the cloud. The core has asked for its authority
// when it decided on a call, but the process may have stood still since, or the call
// has waited for its place: entitled is asked again, and what is too late is not sent.
func New(state, cloud string, conns int, entitled func() bool) *Client {
	return &Client{
		state: "http://" + state, cloud: "http://" + cloud, entitled: entitled,
		services: pool(32), workers: pool(conns),
		calling: make(chan struct{}, conns), asking: make(chan struct{}, max(1, conns/2)),
	}
}

// pool returns a client that keeps up to conns idle connections.
func pool(conns int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns: conns, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// request sends one request and returns the status and body. The body of a request
// can't be rewound, so that net/http never sends a second copy on its own:
// a copy that the core doesn't know of could run after it was given up.
func request(by *http.Client, timeout time.Duration, method, target string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(wire.Marshal(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return 0, nil, fmt.Errorf("call %s: %w", target, err)
	}
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/cbor")
	}
	resp, err := by.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer of %s: %w", target, err)
	}
	return resp.StatusCode, raw, nil
}

// State makes a call of the core to the state service.
func (c *Client) State(call controller.StateCall) controller.StateReply {
	reply := controller.StateReply{ID: call.ID}
	var into any
	method, target, body := http.MethodGet, c.state, any(nil)
	switch call.Op {
	case controller.OpGet:
		target += wire.PathKV + "/" + call.Key
		into = &reply.Item
	case controller.OpRange:
		target += wire.PathKV + "?prefix=" + url.QueryEscape(call.Key) + "&limit=1000"
		if call.After != "" {
			target += "&after=" + url.QueryEscape(call.After)
		}
		into = &reply.Page
	case controller.OpTxn:
		method, target, body = http.MethodPost, target+wire.PathTxn, call.Txn
		into = &reply.Txn
	case controller.OpGrant:
		method, target, body = http.MethodPost, target+wire.PathLeases, wire.LeaseAsk{TTLms: call.Life.Milliseconds()}
		into = &reply.Grant
	case controller.OpTouch:
		method, target = http.MethodPost, target+wire.PathLeases+"/"+strconv.FormatUint(call.Lease, 10)+wire.PathTouch
	case controller.OpEnd:
		method, target = http.MethodDelete, target+wire.PathLeases+"/"+strconv.FormatUint(call.Lease, 10)
	case controller.OpWatch:
		target += wire.PathWatch + "?prefix=" + url.QueryEscape(call.Key) +
			"&after=" + strconv.FormatUint(call.Revision, 10) + "&wait_ms=" + strconv.FormatInt(call.Wait.Milliseconds(), 10)
		into = &reply.Watch
	}
	// A refused transaction tells what failed in the same form.
	reply.Status = callAndDecode(c.services, call.Timeout, method, target, body, into, call.Op == controller.OpTxn)
	return reply
}

// callAndDecode calls and decodes the answer into into; status 0 stands for none.
func callAndDecode(by *http.Client, timeout time.Duration, method, target string, body, into any, always bool) int {
	status, raw, err := request(by, timeout, method, target, body)
	if err != nil {
		return 0
	}
	if into == nil || status != http.StatusOK && !always {
		return status
	}
	if err := wire.Unmarshal(raw, into); err != nil && status == http.StatusOK {
		return 0
	}
	return status
}

// Cloud makes a call of the core to the cloud.
func (c *Client) Cloud(call controller.CloudCall) controller.CloudReply {
	reply := controller.CloudReply{ID: call.ID}
	if !c.entitled() {
		return reply
	}
	var into any
	method, target, body := http.MethodGet, c.cloud, any(nil)
	switch call.Op {
	case controller.CloudTypes:
		target += wire.PathTypes
		into = &reply.Types
	case controller.CloudList:
		target += wire.PathMachines + "?limit=500"
		if call.After != "" {
			target += "&after=" + url.QueryEscape(call.After)
		}
		into = &reply.Page
	case controller.CloudRent:
		method, target, body = http.MethodPost, target+wire.PathMachines, call.Rent
		into = &reply.Names
	case controller.CloudRelease:
		method, target, body = http.MethodPost, target+wire.PathRelease, wire.Names{Machines: call.Names}
	}
	reply.Status = callAndDecode(c.services, call.Timeout, method, target, body, into, false)
	return reply
}

// Worker sends direct commands of the core to a worker. Calls that only ask for a
// report take half of the places at most: where hundreds of machines hang, each of
// them holds one until it is given up, and commands to the others must not wait.
func (c *Client) Worker(cmd controller.WorkerCall) controller.WorkerReply {
	if len(cmd.Commands.Commands) == 0 {
		c.asking <- struct{}{}
		defer func() { <-c.asking }()
	}
	c.calling <- struct{}{}
	defer func() { <-c.calling }()
	reply := controller.WorkerReply{ID: cmd.ID, Machine: cmd.Machine}
	if !c.entitled() {
		return reply
	}
	reply.Status = callAndDecode(c.workers, cmd.Timeout, http.MethodPost, "http://"+cmd.Addr+wire.PathCommands, cmd.Commands, &reply.Report, true)
	return reply
}
