package sim

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// Worlds in real time: the controllers are real processes that are reached over TCP on the loopback
// interface; the state service, the cloud, the workers and the users are simulated as in virtual
// time. One goroutine owns the world, as in virtual time; requests that arrive on other goroutines are
// enqueued for it.

// liveRuntime connects a world that runs in real time with the real controllers: it accepts their requests and
// sends them those of the simulated users and workers.
type liveRuntime struct {
	ctx    context.Context // ends all listeners, requests and the run
	w      *World
	inputs chan func()  // functions to call on the goroutine that owns the world
	client *http.Client // for requests to controllers
	err    error        // joined errors of listeners that could not be opened; ends the run
}

// liveController connects the simulated services with one real controller.
type liveController struct {
	*liveRuntime
	address    string  // at which the controller serves users and workers
	controller *member // the controller as a member of the simulated deployment
}

// callTimeout bounds each request of a simulated user or worker to a controller, and the time in which a simulated
// service reads the header of a controller's request.
const callTimeout = 5 * time.Second

// NewLiveWorld returns a world of the given shape without controllers; AddController adds real ones. All its
// listeners and calls end with ctx.
func NewLiveWorld(ctx context.Context, seed uint64, shape Shape) *World {
	shape.Controllers = 0
	w := New(seed, shape)
	w.keepHistory, w.deterministic = true, true
	w.live = &liveRuntime{ctx: ctx, w: w, inputs: make(chan func(), 1024), client: &http.Client{Timeout: callTimeout}}
	return w
}

// AddController adds a real controller that serves users and workers at the given address. It returns the
// addresses of the state service and of the cloud for this controller alone, so that it can be cut off
// from them while the other controllers are not.
func (w *World) AddController(name, address string) (stateAddress, cloudAddress string) {
	n := &member{w: w, index: len(w.controllers), name: name}
	n.live = &liveController{liveRuntime: w.live, address: address, controller: n}
	w.controllers = append(w.controllers, n)
	return w.live.serve(n.live.serveState), w.live.serve(n.live.serveCloud)
}

// RunLive runs the world in real time for the given duration, or until the first violation of a rule.
func (w *World) RunLive(duration time.Duration) error { return runLive([]*World{w}, duration) }

// runLive runs worlds that share a clock and the first one's input queue and context. The calling goroutine owns
// them: only it reads or changes them during the run.
func runLive(worlds []*World, duration time.Duration) error {
	first := worlds[0]
	startTime := time.Now().Add(-first.now)
	until := first.now + duration
	for first.now < until {
		pause := until - first.now
		for _, w := range worlds {
			if len(w.events) > 0 {
				pause = min(pause, w.events[0].at-first.now)
			}
		}
		timer := time.NewTimer(pause)
		var input func()
		select {
		case input = <-first.live.inputs:
		case <-timer.C:
		case <-first.live.ctx.Done():
			return first.live.ctx.Err()
		}
		timer.Stop()
		now := max(first.now, time.Since(startTime))
		for _, w := range worlds {
			w.now = now
		}
		if input != nil {
			input()
		}
		for _, w := range worlds {
			w.runDueEvents()
			if len(w.Violations) > 0 || w.live.err != nil {
				return w.live.err
			}
		}
	}
	return nil
}

// enqueue passes fn to the goroutine that owns the world.
func (l *liveRuntime) enqueue(fn func()) {
	select {
	case l.inputs <- fn:
	case <-l.ctx.Done():
	}
}

// serve starts a server on a free port and returns its address.
func (l *liveRuntime) serve(handler http.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.err = errors.Join(l.err, err)
		return ""
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	context.AfterFunc(l.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

// awaitReply passes a request to the world and waits for its reply. Without a reply, the connection
// stays open until the caller times out, as in a network partition.
func awaitReply[R any](l *liveRuntime, r *http.Request, submit func(reply func(R))) (received R, ok bool) {
	replies := make(chan R, 1)
	l.enqueue(func() {
		submit(func(a R) {
			select {
			case replies <- a:
			default:
			}
		})
	})
	select {
	case received = <-replies:
		return received, true
	case <-r.Context().Done():
	case <-l.ctx.Done():
	}
	return received, false
}

// writeReply writes a simulated service's reply to a controller.
func writeReply(w http.ResponseWriter, status int, body any) {
	raw := wire.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// decodeRequestBody decodes the body of a request to a simulated service.
func decodeRequestBody[T any](r *http.Request) T {
	var v T
	if raw, err := io.ReadAll(io.LimitReader(r.Body, 1<<20)); err == nil {
		_ = wire.Unmarshal(raw, &v) // a malformed body is treated as an empty one
	}
	return v
}

// serveState handles requests of one controller to the state service.
func (n *liveController) serveState(w http.ResponseWriter, r *http.Request) {
	call := decodeStateCall(r)
	reply, ok := awaitReply(n.liveRuntime, r, func(reply func(controller.StateReply)) {
		if !n.controller.cutFromStateAndPeers {
			n.w.store.handle(n.controller, call, reply)
		}
	})
	if !ok {
		return
	}
	writeReply(w, reply.Status, stateReplyBody(call.Op, reply))
}

// decodeStateCall decodes a request to the state service.
func decodeStateCall(r *http.Request) controller.StateCall {
	query := r.URL.Query()
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(query.Get(name), 10, 64)
		return n
	}
	path := r.URL.Path
	leaseText, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
	leaseID, _ := strconv.ParseUint(leaseText, 10, 64)
	switch {
	case path == wire.PathTxn:
		return controller.StateCall{Op: controller.OpTxn, Txn: decodeRequestBody[wire.Txn](r)}
	case path == wire.PathLeases:
		return controller.StateCall{Op: controller.OpGrant, TTL: time.Duration(decodeRequestBody[wire.LeaseRequest](r).TTLMS) * time.Millisecond}
	case r.Method == http.MethodDelete:
		return controller.StateCall{Op: controller.OpRevoke, Lease: leaseID}
	case strings.HasPrefix(path, wire.PathLeases):
		return controller.StateCall{Op: controller.OpRenew, Lease: leaseID}
	case path == wire.PathWatch:
		return controller.StateCall{Op: controller.OpWatch, Key: query.Get("prefix"), Revision: number("after"), Wait: time.Duration(number("wait_ms")) * time.Millisecond}
	case path == wire.PathKV:
		return controller.StateCall{Op: controller.OpRange, Key: query.Get("prefix"), After: query.Get("after")}
	}
	return controller.StateCall{Op: controller.OpGet, Key: strings.TrimPrefix(path, wire.PathKV+"/")}
}

// stateReplyBody returns the part of a reply that is sent as the body.
func stateReplyBody(op controller.StateOp, r controller.StateReply) any {
	switch op {
	case controller.OpTxn:
		return r.Txn
	case controller.OpGrant:
		return r.Grant
	case controller.OpWatch:
		return r.Watch
	case controller.OpRange:
		return r.Page
	case controller.OpGet:
		return r.Item
	}
	return struct{}{}
}

// serveCloud handles requests of one controller to the cloud.
func (n *liveController) serveCloud(w http.ResponseWriter, r *http.Request) {
	call := controller.CloudCall{Op: controller.CloudTypes}
	switch {
	case r.URL.Path == wire.PathRelease:
		call = controller.CloudCall{Op: controller.CloudRelease, MachineIDs: decodeRequestBody[wire.MachineIDs](r).Machines}
	case r.URL.Path == wire.PathMachines && r.Method == http.MethodPost:
		call = controller.CloudCall{Op: controller.CloudRent, Rent: decodeRequestBody[wire.RentRequest](r)}
	case r.URL.Path == wire.PathMachines:
		call = controller.CloudCall{Op: controller.CloudList, After: r.URL.Query().Get("after")}
	}
	reply, ok := awaitReply(n.liveRuntime, r, func(reply func(controller.CloudReply)) {
		if !n.controller.cutFromStateAndPeers {
			reply(n.w.cloud.handle(call))
		}
	})
	if !ok {
		return
	}
	bodies := map[controller.CloudOp]any{controller.CloudTypes: reply.Types, controller.CloudRent: reply.Rented, controller.CloudList: reply.Page}
	writeReply(w, reply.Status, bodies[call.Op])
}

// blocksCommands reports whether direct commands with the given token can't reach a machine because a
// zone is cut off. The token identifies the sender's side of the partition: a leader outside of the zone
// was elected after the cut, so its token is higher than any that a machine had seen before.
func (i isolatedZone) blocksCommands(token uint64, h *host) bool {
	return i.controller != nil && (token <= i.token) != (i.zone == h.zone)
}

// commandsAnswer is a worker's answer to direct commands: an HTTP status and the worker's report.
type commandsAnswer struct {
	status int
	report wire.Report
}

// listenForCommands starts a listener for direct commands to a machine.
func (l *liveRuntime) listenForCommands(h *host) {
	h.listenAddress = l.serve(func(w http.ResponseWriter, r *http.Request) {
		commands := decodeRequestBody[wire.Commands](r)
		answer, ok := awaitReply(l, r, func(reply func(commandsAnswer)) {
			if l.w.faults.isolated.blocksCommands(commands.Token, h) {
				return
			}
			h.deliver(func() {
				status, report := h.handleCommands(commands)
				if !h.partitioned {
					reply(commandsAnswer{status, report})
				}
			})
		})
		if ok {
			writeReply(w, answer.status, answer.report)
		}
	})
}

// ask sends a request of a user or a worker to the controller and calls onAnswer with the answer. It never
// calls onAnswer if the request fails.
func (n *liveController) ask(in controller.Input, onAnswer func(controller.Answer)) {
	method, path, body := encodeRequest(in)
	go func() {
		req, err := http.NewRequestWithContext(n.ctx, method, "http://"+n.address+path, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := n.client.Do(req)
		if err != nil {
			return // users and workers time out by themselves
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		answer := controller.Answer{Status: resp.StatusCode, Body: decodeAnswerBody(in, resp.StatusCode, raw)}
		n.enqueue(func() { onAnswer(answer) })
	}()
}

// encodeRequest returns the method, path and body of the HTTP request of a user or a worker. Any other input becomes
// a readiness probe.
func encodeRequest(in controller.Input) (method, path string, body []byte) {
	switch in := in.(type) {
	case controller.ReportRequest:
		return http.MethodPost, wire.PathReport, wire.Marshal(in.Report)
	case controller.UserRequest:
		switch in.Op {
		case controller.UserSubmit:
			return http.MethodPost, wire.PathJobs, in.Body
		case controller.UserPoll:
			return http.MethodGet, wire.PathJobs + "/" + in.Job, nil
		case controller.UserCancel:
			return http.MethodPost, wire.PathJobs + "/" + in.Job + wire.PathCancel, nil
		}
	}
	return http.MethodGet, wire.PathReady, nil
}

// decodeAnswerBody decodes the body of an answer into the type that the simulated services expect for the request.
func decodeAnswerBody(in controller.Input, status int, raw []byte) any {
	_, report := in.(controller.ReportRequest)
	switch {
	case report && status == http.StatusOK:
		return decodeOrZero[wire.ReportAnswer](raw)
	case report:
		return decodeOrZero[wire.Redirect](raw)
	case status == http.StatusOK || status == http.StatusCreated:
		return decodeOrZero[wire.JobState](raw)
	}
	return decodeOrZero[wire.Error](raw)
}

// decodeOrZero decodes raw. What can't be decoded stays at its zero value.
func decodeOrZero[T any](raw []byte) T {
	var v T
	_ = wire.Unmarshal(raw, &v)
	return v
}
