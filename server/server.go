// Package server runs the controller core and does all its I/O: HTTP for users, workers, operators, other
// cells and the load balancer, the mesh with the other controllers, and the outgoing calls that the core
// requests. One goroutine owns the core; all other goroutines reach it through bounded queues.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/netutil"

	"pumicefront/celllink"
	"pumicefront/client"
	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/mesh"
	"pumicefront/movetrace"
	"pumicefront/wire"
	"pumicefront/zonetrace"
)

const (
	answerTimeout       = 3 * time.Second  // for the core's answer to a request
	maxAnswerAge        = 2 * time.Second  // an older answer is not sent: users time out after 2 s
	headerTimeout       = 5 * time.Second  // for a client to send the headers of a request; at the status endpoints and the listener for cells, the whole request
	idleTimeout         = 90 * time.Second // after which an idle connection is closed
	listenRetryInterval = 200 * time.Millisecond
	maxListenRetries    = 100
)

// Server runs one controller.
type Server struct {
	cfg            *config.Platform
	operator       config.Operator
	core           *controller.Core
	client         *client.Client
	mesh           *mesh.Mesh
	inputs         chan controller.Input
	requests       chan request
	cellRequests   chan request // requests of other cells, and of operators about cells, in a separate queue; nil: spillover is off
	cellLimiter    *cellRateLimiter
	nextID         atomic.Uint64
	conns          atomic.Int64              // open connections of users and workers
	authorityUntil atomic.Pointer[time.Time] // when the core's authority expires, as of its last step
	zoneTrace      *zonetrace.Recorder       // nil: zone recoveries are not traced
	cellClient     *celllink.Client          // nil: spillover is off
	moveTrace      *movetrace.Recorder       // nil: moves are not traced
}

// maxConnections returns how many connections from users and workers are accepted: three quarters of the
// sockets. An eighth of the sockets is for calls to workers (see New), and the rest for the state service,
// the cloud, the other controllers and connections that wait to be accepted.
func (s *Server) maxConnections() int { return s.cfg.Facts.Resources.MaxConnections * 3 / 4 }

// nearConnectionLimit reports whether more than five sixths of the accepted connections are in use.
func (s *Server) nearConnectionLimit() bool { return s.conns.Load() > int64(s.maxConnections()*5/6) }

// trackConnection counts the open connections of users and workers.
func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// request is an input to the core whose sender waits for an answer.
type request struct {
	id         uint64
	input      controller.Input
	receivedAt time.Time
	reply      chan timedAnswer
}

// timedAnswer is an answer together with the time at which the core decided on it.
type timedAnswer struct {
	controller.Answer
	decidedAt time.Time
}

// hasAuthority reports whether this controller may act as leader now.
func (s *Server) hasAuthority() bool {
	authorityUntil := s.authorityUntil.Load()
	return authorityUntil != nil && time.Now().Before(*authorityUntil)
}

// New returns a controller with the given settings. The queue of requests, except those of and about other
// cells, has room for one request of every connection, so that no request is rejected for a full queue when
// all clients reconnect in the same second. The queue of the core's other inputs has the same length.
func New(cfg *config.Platform, operator config.Operator) *Server {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	conns := cfg.Facts.Resources.MaxConnections
	s := &Server{
		cfg:      cfg,
		operator: operator,
		core:     controller.New(cfg, operator, rng, time.Now()),
		inputs:   make(chan controller.Input, conns),
		requests: make(chan request, conns),
	}
	if operator.Cell != nil {
		s.cellRequests, s.cellLimiter = make(chan request, queuedCallsPerCell*len(operator.Cell.Peers)), newCellRateLimiter(operator.Cell)
	}
	s.client = client.New(cfg.External.State, cfg.External.Cloud, conns/8, s.hasAuthority)
	return s
}

// Run serves until ctx is done or a listener fails. It returns an error if it cannot listen on an address
// (an address in use is first retried maxListenRetries times, listenRetryInterval apart), if a trace file
// cannot be opened, or if the HTTP server stops. When ctx is done it returns the result of closing the
// HTTP server.
func (s *Server) Run(ctx context.Context) error {
	peers := map[string]string{}
	for _, o := range s.cfg.Others {
		peers[o.Member] = o.Addr
	}
	meshLn, err := listen(s.cfg.Mesh)
	if err != nil {
		return err
	}
	s.mesh = mesh.New(ctx, meshLn, peers, func(e *mesh.Envelope) {
		select {
		case s.inputs <- controller.MeshMessage{Envelope: e}:
		default: // overloaded: the message is dropped, since the mesh does not guarantee delivery
		}
	})
	ln, err := listen(s.cfg.Listen)
	if err != nil {
		return err
	}
	closeZones, err := s.startZoneStatus()
	if err != nil {
		return err
	}
	defer closeZones()
	closeCells, err := s.startCellListener()
	if err != nil {
		return err
	}
	defer closeCells()
	closeSpreading, err := s.startLoadSpreadingStatus()
	if err != nil {
		return err
	}
	defer closeSpreading()
	httpServer := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10, ConnState: s.trackConnection}
	failed := make(chan error, 1)
	// Connections beyond the limit stay unaccepted, so that the load balancer tries another controller;
	// the remaining sockets are reserved for the core's own calls.
	ln = netutil.LimitListener(ln, s.maxConnections())
	go func() { failed <- httpServer.Serve(ln) }()
	go s.runCore(ctx)
	slog.Info("serving", "member", s.cfg.Member, "addr", s.cfg.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return httpServer.Close()
	}
}

// listen listens on a TCP address. While the address is in use, it retries, at most maxListenRetries times:
// after a process was killed, a connection of another process may hold the port for a moment, and exiting
// because of that would only delay the start.
func listen(addr string) (net.Listener, error) {
	for retries := 0; ; retries++ {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln, nil
		}
		if retries == maxListenRetries || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("listen: %w", err)
		}
		slog.Info("address in use, retrying", "addr", addr)
		time.Sleep(listenRetryInterval)
	}
}

// runCore is the event loop that owns the core: after New, only its goroutine uses the core. It passes
// inputs and timer expirations to the core and executes the resulting outputs.
func (s *Server) runCore(ctx context.Context) {
	waiting := map[uint64]chan timedAnswer{}
	timer := time.NewTimer(0)
	for {
		var in controller.Input
		select {
		case <-ctx.Done():
			return
		case in = <-s.inputs:
		case r := <-s.requests:
			if in = registerRequest(waiting, r); in == nil {
				continue
			}
		case r := <-s.cellRequests:
			if in = registerRequest(waiting, r); in == nil {
				continue
			}
		case <-timer.C:
			in = controller.Tick{}
		}
		now := time.Now()
		outputs := s.core.Step(now, in)
		authorityUntil := s.core.Authority()
		s.authorityUntil.Store(&authorityUntil)
		for _, o := range outputs {
			if a, ok := o.(controller.Answer); ok {
				if ch := waiting[a.Req]; ch != nil {
					ch <- timedAnswer{a, now}
					delete(waiting, a.Req)
				}
				continue
			}
			s.execute(o)
		}
		timer.Reset(time.Until(s.core.Wake()))
	}
}

// registerRequest records where the answer to a request goes and returns the request's input. It returns
// nil if the sender has already timed out, so that the core does no work for a request that was rejected.
func registerRequest(waiting map[uint64]chan timedAnswer, r request) controller.Input {
	if time.Since(r.receivedAt) > answerTimeout {
		return nil
	}
	waiting[r.id] = r.reply
	return r.input
}

// execute starts the I/O that an output of the core describes. The results of calls come back as inputs.
func (s *Server) execute(o controller.Output) {
	switch o := o.(type) {
	case controller.StateCall:
		go func() { s.inputs <- s.client.State(o) }()
	case controller.CloudCall:
		go func() { s.inputs <- s.client.Cloud(o) }()
	case controller.WorkerCall:
		go func() { s.inputs <- s.client.Worker(o) }()
	case controller.CellCall:
		go func() { s.inputs <- s.cellClient.Call(o) }()
	case controller.MeshSend:
		s.mesh.Send(o.To, o.Envelope)
	case controller.ZoneChanged, controller.TaskDisplaced, controller.TaskRestarted, controller.ZoneRecovered, controller.RecoveriesHandedOver:
		s.zoneTrace.Record(o)
	case controller.MoveChanged:
		s.moveTrace.Record(o)
	case controller.LogRecord:
		slog.Log(context.Background(), o.Level, o.Text, o.Attrs...)
	}
}

// ServeHTTP serves a request of a user, a worker or the load balancer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := s.nextID.Add(1)
	in, status := s.route(id, r)
	if status != 0 {
		writeAnswer(w, controller.Answer{Status: status, Body: wire.Error{Error: http.StatusText(status)}})
		return
	}
	a, ok := s.callCore(id, in)
	if !ok {
		writeAnswer(w, overloadedAnswer())
		return
	}
	if _, report := in.(controller.ReportRequest); report && s.nearConnectionLimit() {
		// There may be more workers than sockets, so workers must reconnect for each report.
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, a)
}

// callCore passes a request of a user or a worker to the core and waits for the answer.
func (s *Server) callCore(id uint64, in controller.Input) (controller.Answer, bool) {
	return callCore(s.requests, id, in)
}

// callCore sends a request to the core through the given queue and waits for the answer. It returns false
// if the queue is full, or if the answer takes longer than answerTimeout or is older than maxAnswerAge.
func callCore(queue chan<- request, id uint64, in controller.Input) (controller.Answer, bool) {
	reply := make(chan timedAnswer, 1)
	select {
	case queue <- request{id, in, time.Now(), reply}:
	default:
		return controller.Answer{}, false
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		// If the process was paused or is far behind, the answer may no longer be true.
		return a.Answer, time.Since(a.decidedAt) <= maxAnswerAge
	case <-timer.C:
		return controller.Answer{}, false
	}
}

func overloadedAnswer() controller.Answer {
	return controller.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "overloaded"}, RetryAfter: time.Second}
}

// route converts an HTTP request into an input of the core. A status other than 0 rejects the request.
func (s *Server) route(id uint64, r *http.Request) (controller.Input, int) {
	path := r.URL.Path
	switch {
	case path == wire.PathReady:
		return controller.UserRequest{Req: id, Op: controller.UserReady}, checkMethod(r, http.MethodGet)
	case path == wire.PathReport:
		return s.routeReport(id, r)
	case path == wire.PathJobs:
		if st := checkMethod(r, http.MethodPost); st != 0 {
			return nil, st
		}
		body, err := readBody(r)
		if err != nil {
			return nil, http.StatusBadRequest
		}
		return controller.UserRequest{Req: id, Op: controller.UserSubmit, Body: body}, 0
	case strings.HasPrefix(path, wire.PathJobs+"/"):
		job := strings.TrimPrefix(path, wire.PathJobs+"/")
		if rest, ok := strings.CutSuffix(job, wire.PathCancel); ok && !strings.Contains(rest, "/") {
			return controller.UserRequest{Req: id, Op: controller.UserCancel, Job: rest}, checkMethod(r, http.MethodPost)
		}
		if strings.Contains(job, "/") {
			return nil, http.StatusNotFound
		}
		return controller.UserRequest{Req: id, Op: controller.UserPoll, Job: job}, checkMethod(r, http.MethodGet)
	}
	return nil, http.StatusNotFound
}

func (s *Server) routeReport(id uint64, r *http.Request) (controller.Input, int) {
	if st := checkMethod(r, http.MethodPost); st != 0 {
		return nil, st
	}
	// A worker's report lists all its tasks, so it may be larger than a user's request.
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*wire.MaxBodyBytes))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	in := controller.ReportRequest{Req: id}
	if wire.Unmarshal(body, &in.Report) != nil || in.Report.Machine == "" {
		return nil, http.StatusBadRequest
	}
	return in, 0
}

func checkMethod(r *http.Request, want string) int {
	if r.Method != want {
		return http.StatusMethodNotAllowed
	}
	return 0
}

var errTooLarge = errors.New("request body too large")

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err == nil && len(body) > wire.MaxBodyBytes {
		err = errTooLarge
	}
	return body, err
}

func writeAnswer(w http.ResponseWriter, a controller.Answer) {
	w.Header().Set("Content-Type", "application/cbor")
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	body := wire.Marshal(a.Body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		slog.Debug("failed to write response", "err", err)
	}
}
