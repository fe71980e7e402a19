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

// maxAnswer bounds what is read of an answer, in bytes; the answer of a watch has no bound of its
// own in the protocol.
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

// New returns a client of the state service and the cloud at their host:port; conns bounds the
// connections to workers. A new leader asks every machine at once: without a bound it would have no
// socket left for the state service, whose connections are kept apart for the same reason.
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

// call is one call that the core asked for.
type call struct {
	service Service
	op      Operation
	method  string
	target  string
	body    any // sent as CBOR; nil: none
	into    any // where the body of the answer is decoded; nil: it is not read
	// readRefused decodes the body of an answer with another status too: the keys of a failed
	// transaction, the report of a worker that refused its commands.
	readRefused bool
	timeout     time.Duration
}

// answer is what came back of a call.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// failed returns the *CallError of this call with a status, a kind and a fault.
func (c call) failed(status int, kind, fault error) *CallError {
	return &CallError{Service: c.service, Op: c.op, Method: c.method, Target: c.target, Status: status, Kind: kind, Err: fault}
}

// send makes the call once and decodes the answer into c.into. It returns nil for an answer with
// 200 that could be read, and a *CallError otherwise.
func (c call) send(by *http.Client) error {
	got, err := request(by, c.timeout, c.method, c.target, c.body)
	if err != nil {
		return c.failed(0, ErrNoAnswer, err)
	}
	if c.into != nil && (got.status == http.StatusOK || c.readRefused) {
		if err := wire.Unmarshal(got.body, c.into); err != nil && got.status == http.StatusOK {
			return c.failed(got.status, ErrUnreadable, err)
		}
	}
	if got.status != http.StatusOK {
		refused := c.failed(got.status, statusKind(c.service, got.status), nil)
		refused.RetryAfter = got.retryAfter
		return refused
	}
	return nil
}

// request sends one request and returns the answer; an error tells that none came. The body of a
// request can't be rewound, so that net/http never sends a second copy on its own: a copy that the
// core doesn't know of could run after it was given up.
func request(by *http.Client, timeout time.Duration, method, target string, body any) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(wire.Marshal(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, target, reader)
	if err != nil {
		return answer{}, fmt.Errorf("make request: %w", err)
	}
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/cbor")
	}
	resp, err := by.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, fmt.Errorf("read answer: %w", err)
	}
	return answer{status: resp.StatusCode, body: raw, retryAfter: retryAfter(resp.Header)}, nil
}

// State makes a call of the core to the state service. A failed transaction's answer is decoded
// too: it names the keys whose conditions failed.
func (c *Client) State(sc controller.StateCall) controller.StateReply {
	reply := controller.StateReply{ID: sc.ID}
	reply.Status = replyStatus(c.stateCall(sc, &reply).send(c.services))
	return reply
}

// stateCall is the call of the state service that sc asks for, decoded into reply.
func (c *Client) stateCall(sc controller.StateCall, reply *controller.StateReply) call {
	x := call{service: StateService, method: http.MethodGet, target: c.state, timeout: sc.Timeout}
	switch sc.Op {
	case controller.OpGet:
		x.op, x.target, x.into = OpGet, x.target+wire.PathKV+"/"+sc.Key, &reply.Item
	case controller.OpRange:
		x.op, x.target, x.into = OpRange, x.target+wire.PathKV+"?prefix="+url.QueryEscape(sc.Key)+"&limit=1000", &reply.Page
		if sc.After != "" {
			x.target += "&after=" + url.QueryEscape(sc.After)
		}
	case controller.OpTxn:
		x.op, x.method, x.target, x.body = OpTransaction, http.MethodPost, x.target+wire.PathTxn, sc.Txn
		x.into, x.readRefused = &reply.Txn, true
	case controller.OpGrant:
		x.op, x.method, x.target = OpGrantLease, http.MethodPost, x.target+wire.PathLeases
		x.body, x.into = wire.LeaseAsk{TTLms: sc.Life.Milliseconds()}, &reply.Grant
	case controller.OpTouch:
		x.op, x.method, x.target = OpRenewLease, http.MethodPost, x.target+wire.PathLeases+"/"+strconv.FormatUint(sc.Lease, 10)+wire.PathTouch
	case controller.OpEnd:
		x.op, x.method, x.target = OpRevokeLease, http.MethodDelete, x.target+wire.PathLeases+"/"+strconv.FormatUint(sc.Lease, 10)
	case controller.OpWatch:
		x.op, x.into = OpWatch, &reply.Watch
		x.target += wire.PathWatch + "?prefix=" + url.QueryEscape(sc.Key) +
			"&after=" + strconv.FormatUint(sc.Revision, 10) + "&wait_ms=" + strconv.FormatInt(sc.Wait.Milliseconds(), 10)
	}
	return x
}

// Cloud makes a call of the core to the cloud.
func (c *Client) Cloud(cc controller.CloudCall) controller.CloudReply {
	reply := controller.CloudReply{ID: cc.ID}
	if !c.entitled() {
		return reply
	}
	reply.Status = replyStatus(c.cloudCall(cc, &reply).send(c.services))
	return reply
}

// cloudCall is the call of the cloud that cc asks for, decoded into reply.
func (c *Client) cloudCall(cc controller.CloudCall, reply *controller.CloudReply) call {
	x := call{service: Cloud, method: http.MethodGet, target: c.cloud, timeout: cc.Timeout}
	switch cc.Op {
	case controller.CloudTypes:
		x.op, x.target, x.into = OpMachineTypes, x.target+wire.PathTypes, &reply.Types
	case controller.CloudList:
		x.op, x.target, x.into = OpListMachines, x.target+wire.PathMachines+"?limit=500", &reply.Page
		if cc.After != "" {
			x.target += "&after=" + url.QueryEscape(cc.After)
		}
	case controller.CloudRent:
		x.op, x.method, x.target, x.body, x.into = OpScaleOut, http.MethodPost, x.target+wire.PathMachines, cc.Rent, &reply.Names
	case controller.CloudRelease:
		x.op, x.method, x.target, x.body = OpScaleIn, http.MethodPost, x.target+wire.PathRelease, wire.Names{Machines: cc.Names}
	}
	return x
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
	reply.Status = replyStatus(workerCall(cmd, &reply).send(c.workers))
	return reply
}

// workerCall is the call of a worker that cmd asks for; the report of a worker that refuses its
// commands is decoded too.
func workerCall(cmd controller.WorkerCall, reply *controller.WorkerReply) call {
	return call{
		service: Worker, op: OpCommands, method: http.MethodPost, target: "http://" + cmd.Addr + wire.PathCommands,
		body: cmd.Commands, into: &reply.Report, readRefused: true, timeout: cmd.Timeout,
	}
}
