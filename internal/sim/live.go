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

// Real controllers over TCP on the loopback interface, with the same stand-ins in real time. One
// goroutine owns the world, as in virtual time; what comes from outside is handed to it.

// live is a world in real time.
type live struct {
	ctx    context.Context
	w      *World
	inputs chan func()
	client *http.Client
	err    error // why the world can't go on
}

// liveNode is a real controller, seen from the stand-ins.
type liveNode struct {
	*live
	address string // where it serves users and workers
	node    *node
}

// callTimeout bounds every wait of the stand-ins for a controller.
const callTimeout = 5 * time.Second

// NewLive returns a world of the given shape without controllers: AddController adds real ones. All
// its listeners and calls end with ctx.
func NewLive(ctx context.Context, seed uint64, shape Shape) *World {
	shape.Controllers = 0
	w := New(seed, shape)
	w.keepHistory, w.deterministic = true, true
	w.live = &live{ctx: ctx, w: w, inputs: make(chan func(), 1024), client: &http.Client{Timeout: callTimeout}}
	return w
}

// AddController adds a controller that serves at an address, and returns where its state service
// and its cloud are: addresses of its own, so that it can be cut off from them alone.
func (w *World) AddController(name, address string) (state, cloud string) {
	n := &node{w: w, i: len(w.nodes), name: name}
	n.live = &liveNode{live: w.live, address: address, node: n}
	w.nodes = append(w.nodes, n)
	return w.live.serve(n.live.serveState), w.live.serve(n.live.serveCloud)
}

// RunLive plays for so long in real time, or until the first broken rule.
func (w *World) RunLive(duration time.Duration) error { return runLive([]*World{w}, duration) }

// runLive plays worlds that share a clock and the goroutine that owns them.
func runLive(worlds []*World, duration time.Duration) error {
	first := worlds[0]
	began := time.Now().Add(-first.now)
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
		now := max(first.now, time.Since(began))
		for _, w := range worlds {
			w.now = now
		}
		if input != nil {
			input()
		}
		for _, w := range worlds {
			w.runDue()
			if len(w.Rules) > 0 || w.live.err != nil {
				return w.live.err
			}
		}
	}
	return nil
}

// do has the world's goroutine run fn.
func (l *live) do(fn func()) {
	select {
	case l.inputs <- fn:
	case <-l.ctx.Done():
	}
}

// serve starts a server on a free port, and returns its address.
func (l *live) serve(handler http.HandlerFunc) string {
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

// await hands a request to the world and waits for its answer. Without one the connection hangs
// until the caller gives up, as behind a cut.
func await[R any](l *live, r *http.Request, ask func(reply func(R))) (answer R, ok bool) {
	replies := make(chan R, 1)
	l.do(func() {
		ask(func(a R) {
			select {
			case replies <- a:
			default:
			}
		})
	})
	select {
	case answer = <-replies:
		return answer, true
	case <-r.Context().Done():
	case <-l.ctx.Done():
	}
	return answer, false
}

// respondLive writes an answer of a stand-in.
func respondLive(w http.ResponseWriter, status int, body any) {
	raw := wire.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// decodeBody reads the body of a request.
func decodeBody[T any](r *http.Request) T {
	var v T
	if raw, err := io.ReadAll(io.LimitReader(r.Body, 1<<20)); err == nil {
		_ = wire.Unmarshal(raw, &v) // a malformed body is an empty one here
	}
	return v
}

// serveState is the state service, as one controller sees it.
func (n *liveNode) serveState(w http.ResponseWriter, r *http.Request) {
	call := stateCall(r)
	reply, ok := await(n.live, r, func(reply func(controller.StateReply)) {
		if !n.node.isolated {
			n.w.store.handle(n.node, call, reply)
		}
	})
	if !ok {
		return
	}
	respondLive(w, reply.Status, stateBody(call.Op, reply))
}

// stateCall reads a request to the state service.
func stateCall(r *http.Request) controller.StateCall {
	query := r.URL.Query()
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(query.Get(name), 10, 64)
		return n
	}
	path := r.URL.Path
	lease, _, _ := strings.Cut(strings.TrimPrefix(path, wire.PathLeases+"/"), "/")
	id, _ := strconv.ParseUint(lease, 10, 64)
	switch {
	case path == wire.PathTxn:
		return controller.StateCall{Op: controller.OpTxn, Txn: decodeBody[wire.Txn](r)}
	case path == wire.PathLeases:
		return controller.StateCall{Op: controller.OpGrant, Life: time.Duration(decodeBody[wire.LeaseAsk](r).TTLms) * time.Millisecond}
	case r.Method == http.MethodDelete:
		return controller.StateCall{Op: controller.OpEnd, Lease: id}
	case strings.HasPrefix(path, wire.PathLeases):
		return controller.StateCall{Op: controller.OpTouch, Lease: id}
	case path == wire.PathWatch:
		return controller.StateCall{Op: controller.OpWatch, Key: query.Get("prefix"), Revision: number("after"), Wait: time.Duration(number("wait_ms")) * time.Millisecond}
	case path == wire.PathKV:
		return controller.StateCall{Op: controller.OpRange, Key: query.Get("prefix"), After: query.Get("after")}
	}
	return controller.StateCall{Op: controller.OpGet, Key: strings.TrimPrefix(path, wire.PathKV+"/")}
}

// stateBody is what of a reply goes over the wire.
func stateBody(op controller.StateOp, r controller.StateReply) any {
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

// serveCloud is the cloud.
func (n *liveNode) serveCloud(w http.ResponseWriter, r *http.Request) {
	call := controller.CloudCall{Op: controller.CloudTypes}
	switch {
	case r.URL.Path == wire.PathRelease:
		call = controller.CloudCall{Op: controller.CloudRelease, Names: decodeBody[wire.Names](r).Machines}
	case r.URL.Path == wire.PathMachines && r.Method == http.MethodPost:
		call = controller.CloudCall{Op: controller.CloudRent, Rent: decodeBody[wire.Rent](r)}
	case r.URL.Path == wire.PathMachines:
		call = controller.CloudCall{Op: controller.CloudList, After: r.URL.Query().Get("after")}
	}
	reply, ok := await(n.live, r, func(reply func(controller.CloudReply)) {
		if !n.node.isolated {
			reply(n.w.cloud.handle(call))
		}
	})
	if !ok {
		return
	}
	bodies := map[controller.CloudOp]any{controller.CloudTypes: reply.Types, controller.CloudRent: reply.Names, controller.CloudList: reply.Page}
	respondLive(w, reply.Status, bodies[call.Op])
}

// holdsBack reports whether direct commands can't reach a machine because a zone is cut off. Their
// token tells which side they come from: whoever leads outside was elected later.
func (i isolatedZone) holdsBack(token uint64, h *host) bool {
	return i.node != nil && (token <= i.token) != (i.zone == h.zone)
}

// workerAnswer is a worker's answer to direct commands.
type workerAnswer struct {
	status int
	report wire.Report
}

// listen gives a machine its own address for direct commands.
func (l *live) listen(h *host) {
	h.listens = l.serve(func(w http.ResponseWriter, r *http.Request) {
		commands := decodeBody[wire.Commands](r)
		answer, ok := await(l, r, func(reply func(workerAnswer)) {
			if l.w.faults.isolated.holdsBack(commands.Token, h) {
				return
			}
			h.reach(func() {
				status, report := h.commands(commands)
				if !h.cut {
					reply(workerAnswer{status, report})
				}
			})
		})
		if ok {
			respondLive(w, answer.status, answer.report)
		}
	})
}

// ask sends a request of a user or a worker to the controller.
func (n *liveNode) ask(in controller.Input, fn func(controller.Answer)) {
	method, path, body := request(in)
	go func() {
		req, err := http.NewRequestWithContext(n.ctx, method, "http://"+n.address+path, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := n.client.Do(req)
		if err != nil {
			return // whoever asked has a timeout of its own
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		answer := controller.Answer{Status: resp.StatusCode, Body: answerBody(in, resp.StatusCode, raw)}
		n.do(func() { fn(answer) })
	}()
}

// request spells a request as the protocol does.
func request(in controller.Input) (method, path string, body []byte) {
	switch in := in.(type) {
	case controller.ReportRequest:
		return http.MethodPost, wire.PathReport, wire.Marshal(in.Report)
	case controller.UserRequest:
		switch in.Op {
		case controller.UserSubmit:
			return http.MethodPost, wire.PathJobs, in.Body
		case controller.UserPoll:
			return http.MethodGet, wire.PathJobs + "/" + in.Job, nil
		case controller.UserAbort:
			return http.MethodPost, wire.PathJobs + "/" + in.Job + wire.PathAbort, nil
		}
	}
	return http.MethodGet, wire.PathReady, nil
}

// answerBody reads an answer as the stand-ins want it.
func answerBody(in controller.Input, status int, raw []byte) any {
	_, report := in.(controller.ReportRequest)
	switch {
	case report && status == http.StatusOK:
		return decoded[wire.ReportAnswer](raw)
	case report:
		return decoded[wire.Redirect](raw)
	case status == http.StatusOK || status == http.StatusCreated:
		return decoded[wire.JobState](raw)
	}
	return decoded[wire.Error](raw)
}

func decoded[T any](raw []byte) T {
	var v T
	_ = wire.Unmarshal(raw, &v) // what can't be read is empty
	return v
}
