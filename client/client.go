// Package client makes a controller's outgoing HTTP calls: to the state service, the cloud API and
// the workers. Every call has a deadline and is sent at most once; the package never retries.
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
	"pumicefront/internal/httpheader"
	"pumicefront/wire"
)

// maxResponseBytes bounds how much of a response body is read. The protocol itself does not bound the
// response of a watch.
const maxResponseBytes = 16 << 20

// Client calls the state service and the cloud at fixed addresses, and workers at the address that
// each call names.
type Client struct {
	stateURL, cloudURL string
	services           *http.Client
	workers            *http.Client
	workerSlots        chan struct{} // semaphore: worker calls in flight
	reportSlots        chan struct{} // semaphore: worker calls without commands, in flight or waiting for a worker slot
	hasAuthority       func() bool   // whether this controller may act as leader now
}

// New returns a client of the state service and the cloud, both given as host:port. maxWorkerConns
// bounds the concurrent calls to workers: a new leader requests a report from every machine at once,
// and without the bound no socket would be left for the state service. The state service and the cloud
// use a separate connection pool for the same reason.
//
// Only a leader calls workers and the cloud. The core checks its authority when it decides on a call,
// but the process may be paused afterwards, or the call may wait for a free slot. hasAuthority is
// therefore checked again immediately before sending, and the call is dropped if the authority has
// expired.
func New(stateAddr, cloudAddr string, maxWorkerConns int, hasAuthority func() bool) *Client {
	return &Client{
		stateURL: "http://" + stateAddr, cloudURL: "http://" + cloudAddr, hasAuthority: hasAuthority,
		services: newHTTPClient(32), workers: newHTTPClient(maxWorkerConns),
		workerSlots: make(chan struct{}, maxWorkerConns), reportSlots: make(chan struct{}, max(1, maxWorkerConns/2)),
	}
}

// newHTTPClient returns an HTTP client that keeps up to maxIdle idle connections and follows no
// redirects.
func newHTTPClient(maxIdle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns: maxIdle, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call is one HTTP call that the core requested.
type call struct {
	service Service
	op      Operation
	method  string
	target  string
	body    any // request body, encoded as CBOR; nil: none
	result  any // the response body is decoded into it; nil: the body is ignored
	// decodeErrorBody also decodes the body of a response whose status is not 200: the keys of a failed
	// transaction, or the report of a worker that rejected its commands.
	decodeErrorBody bool
	timeout         time.Duration
}

// response is the HTTP response to a call.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// newError returns a *CallError for this call with the given status, kind and cause.
func (c call) newError(status int, kind, cause error) *CallError {
	return &CallError{Service: c.service, Op: c.op, Method: c.method, Target: c.target, Status: status, Kind: kind, Err: cause}
}

// send makes the call once and decodes the response body into c.result. It returns nil for a response
// with status 200 that could be decoded, and a *CallError otherwise.
func (c call) send(httpClient *http.Client) error {
	resp, err := sendRequest(httpClient, c.timeout, c.method, c.target, c.body)
	if err != nil {
		return c.newError(0, ErrNoResponse, err)
	}
	if c.result != nil && (resp.status == http.StatusOK || c.decodeErrorBody) {
		if err := wire.Unmarshal(resp.body, c.result); err != nil && resp.status == http.StatusOK {
			return c.newError(resp.status, ErrMalformedResponse, err)
		}
	}
	if resp.status != http.StatusOK {
		callErr := c.newError(resp.status, statusKind(c.service, resp.status), nil)
		callErr.RetryAfter = resp.retryAfter
		return callErr
	}
	return nil
}

// sendRequest sends one request and returns the response, or an error if no complete response arrived.
// GetBody is cleared so that net/http cannot rewind the body and resend the request on its own: the
// core would not know of the second copy, which could execute after the core has abandoned the call.
func sendRequest(httpClient *http.Client, timeout time.Duration, method, target string, body any) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(wire.Marshal(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return response{}, fmt.Errorf("create request: %w", err)
	}
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/cbor")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("read response body: %w", err)
	}
	return response{status: resp.StatusCode, body: raw, retryAfter: httpheader.RetryAfter(resp.Header)}, nil
}

// State makes a call to the state service for the core. The response of a failed transaction is decoded
// as well, because it names the keys whose conditions failed.
func (c *Client) State(sc controller.StateCall) controller.StateReply {
	reply := controller.StateReply{ID: sc.ID}
	reply.Status = replyStatus(c.stateCall(sc, &reply).send(c.services))
	return reply
}

// stateCall returns the HTTP call for sc; its response is decoded into reply.
func (c *Client) stateCall(sc controller.StateCall, reply *controller.StateReply) call {
	req := call{service: StateService, method: http.MethodGet, target: c.stateURL, timeout: sc.Timeout}
	switch sc.Op {
	case controller.OpGet:
		req.op, req.target, req.result = OpGet, req.target+wire.PathKV+"/"+sc.Key, &reply.Item
	case controller.OpRange:
		req.op, req.target, req.result = OpRange, req.target+wire.PathKV+"?prefix="+url.QueryEscape(sc.Key)+"&limit=1000", &reply.Page
		if sc.After != "" {
			req.target += "&after=" + url.QueryEscape(sc.After)
		}
	case controller.OpTxn:
		req.op, req.method, req.target, req.body = OpTransaction, http.MethodPost, req.target+wire.PathTxn, sc.Txn
		req.result, req.decodeErrorBody = &reply.Txn, true
	case controller.OpGrant:
		req.op, req.method, req.target = OpGrantLease, http.MethodPost, req.target+wire.PathLeases
		req.body, req.result = wire.LeaseRequest{TTLMS: sc.TTL.Milliseconds()}, &reply.Grant
	case controller.OpRenew:
		req.op, req.method, req.target = OpRenewLease, http.MethodPost, req.target+wire.PathLeases+"/"+strconv.FormatUint(sc.Lease, 10)+wire.PathRenewLease
	case controller.OpRevoke:
		req.op, req.method, req.target = OpRevokeLease, http.MethodDelete, req.target+wire.PathLeases+"/"+strconv.FormatUint(sc.Lease, 10)
	case controller.OpWatch:
		req.op, req.result = OpWatch, &reply.Watch
		req.target += wire.PathWatch + "?prefix=" + url.QueryEscape(sc.Key) +
			"&after=" + strconv.FormatUint(sc.Revision, 10) + "&wait_ms=" + strconv.FormatInt(sc.Wait.Milliseconds(), 10)
	}
	return req
}

// Cloud makes a call to the cloud for the core. Without authority the call is not sent and the reply has
// status 0.
func (c *Client) Cloud(cc controller.CloudCall) controller.CloudReply {
	reply := controller.CloudReply{ID: cc.ID}
	if !c.hasAuthority() {
		return reply
	}
	reply.Status = replyStatus(c.cloudCall(cc, &reply).send(c.services))
	return reply
}

// cloudCall returns the HTTP call for cc; its response is decoded into reply.
func (c *Client) cloudCall(cc controller.CloudCall, reply *controller.CloudReply) call {
	req := call{service: Cloud, method: http.MethodGet, target: c.cloudURL, timeout: cc.Timeout}
	switch cc.Op {
	case controller.CloudTypes:
		req.op, req.target, req.result = OpMachineTypes, req.target+wire.PathMachineTypes, &reply.Types
	case controller.CloudList:
		req.op, req.target, req.result = OpListMachines, req.target+wire.PathMachines+"?limit=500", &reply.Page
		if cc.After != "" {
			req.target += "&after=" + url.QueryEscape(cc.After)
		}
	case controller.CloudRent:
		req.op, req.method, req.target, req.body, req.result = OpScaleOut, http.MethodPost, req.target+wire.PathMachines, cc.Rent, &reply.Rented
	case controller.CloudRelease:
		req.op, req.method, req.target, req.body = OpScaleIn, http.MethodPost, req.target+wire.PathRelease, wire.MachineIDs{Machines: cc.MachineIDs}
	}
	return req
}

// Worker sends commands directly to a worker for the core, and waits for a free slot first. Calls without
// commands, which only request a report, use at most half of the slots: when hundreds of machines hang,
// each call to one of them holds its slot until it times out, and commands to the other machines must
// not wait for that. Without authority the call is not sent and the reply has status 0.
func (c *Client) Worker(cmd controller.WorkerCall) controller.WorkerReply {
	if len(cmd.Commands.Commands) == 0 {
		c.reportSlots <- struct{}{}
		defer func() { <-c.reportSlots }()
	}
	c.workerSlots <- struct{}{}
	defer func() { <-c.workerSlots }()
	reply := controller.WorkerReply{ID: cmd.ID, Machine: cmd.Machine}
	if !c.hasAuthority() {
		return reply
	}
	reply.Status = replyStatus(workerCall(cmd, &reply).send(c.workers))
	return reply
}

// workerCall returns the HTTP call for cmd; the report of a worker that rejects the commands is decoded
// into reply as well.
func workerCall(cmd controller.WorkerCall, reply *controller.WorkerReply) call {
	return call{
		service: Worker, op: OpCommands, method: http.MethodPost, target: "http://" + cmd.Addr + wire.PathCommands,
		body: cmd.Commands, result: &reply.Report, decodeErrorBody: true, timeout: cmd.Timeout,
	}
}
