// Package server is the shell around the core: HTTP for users, workers and the
// load balancer, the mesh, and the calls that the core asks for. One goroutine
// owns the core; everything else reaches it through one bounded queue.
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
	answerTimeout = 3 * time.Second
	answerLife    = 2 * time.Second // users wait for two
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	listenPause   = 200 * time.Millisecond
	listenTries   = 100
)

// Server runs one controller.
type Server struct {
	cfg     *config.Platform
	op      config.Operator
	core    *controller.Core
	client  *client.Client
	mesh    *mesh.Mesh
	inputs  chan controller.Input
	asked   chan request
	byCells chan request // what other cells and their operators ask: in a queue of their own; nil: this cell is alone
	gate    *cellGate
	nextID  atomic.Uint64
	open    atomic.Int64              // connections of users and workers
	until   atomic.Pointer[time.Time] // the core's authority, as it was after its last step
	zones   *zonetrace.Recorder       // nil: recoveries of zones are not traced
	cells   *celllink.Client          // nil: this cell is alone
	moves   *movetrace.Recorder       // nil: moves are not traced
}

// How the sockets are shared: most for users and workers, some for calls of
// workers, the rest for the state service, the cloud, the other controllers and
// connections that wait to be accepted.
func (s *Server) maxConnections() int       { return s.cfg.Facts.Resources.MaxConnections * 3 / 4 }
func (s *Server) nearConnectionLimit() bool { return s.open.Load() > int64(s.maxConnections()*5/6) }

// trackConnection follows the number of open connections.
func (s *Server) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
	}
}

// request is an input that waits for an answer.
type request struct {
	id    uint64
	input controller.Input
	at    time.Time
	reply chan answer
}

// answer is an answer and when the core decided on it.
type answer struct {
	controller.Answer
	at time.Time
}

// entitled reports whether the core may act for the controllers now.
func (s *Server) entitled() bool {
	until := s.until.Load()
	return until != nil && time.Now().Before(*until)
}

// New makes a controller from its settings. The queues hold what all connections
// can ask at once: when everybody comes back in the same second, nobody is sent away
// for lack of a place.
func New(cfg *config.Platform, op config.Operator) *Server {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	conns := cfg.Facts.Resources.MaxConnections
	s := &Server{
		cfg:    cfg,
		op:     op,
		core:   controller.New(cfg, op, rng, time.Now()),
		inputs: make(chan controller.Input, conns),
		asked:  make(chan request, conns),
	}
	if op.Cell != nil {
		s.byCells, s.gate = make(chan request, cellQueuePerPeer*len(op.Cell.Peers)), newCellGate(op.Cell)
	}
	s.client = client.New(cfg.External.State, cfg.External.Cloud, conns/8, s.entitled)
	return s
}

// Run serves until ctx ends or a listener fails. It returns the error of an address that can't be
// listened at (one in use is tried again for listenTries times listenPause first), of a trace file
// that can't be opened, or of the server that stopped; where ctx ends, that of closing the server.
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
		default: // overloaded: the mesh promises nothing
		}
	})
	ln, err := listen(s.cfg.Listen)
	if err != nil {
		return err
	}
	closeZones, err := s.startZones()
	if err != nil {
		return err
	}
	defer closeZones()
	closeCells, err := s.startCells()
	if err != nil {
		return err
	}
	defer closeCells()
	closeSpreading, err := s.startSpreading()
	if err != nil {
		return err
	}
	defer closeSpreading()
	h := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10, ConnState: s.trackConnection}
	failed := make(chan error, 1)
	// Beyond the limit connections wait unaccepted, and the load balancer tries
	// another controller; the rest of the sockets is for the core's own calls.
	ln = netutil.LimitListener(ln, s.maxConnections())
	go func() { failed <- h.Serve(ln) }()
	go s.loop(ctx)
	slog.Info("serving", "member", s.cfg.Member, "addr", s.cfg.Listen)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
		return h.Close()
	}
}

// listen waits a while for an address that is in use: after a process was killed,
// a connection of another may hold its port for a moment, and ending over that
// would only delay the start.
func listen(addr string) (net.Listener, error) {
	for tries := 0; ; tries++ {
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return ln, nil
		}
		if tries == listenTries || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("listen: %w", err)
		}
		slog.Info("address in use, trying again", "addr", addr)
		time.Sleep(listenPause)
	}
}

// loop is the one goroutine that owns the core.
func (s *Server) loop(ctx context.Context) {
	waiting := map[uint64]chan answer{}
	timer := time.NewTimer(0)
	for {
		var in controller.Input
		select {
		case <-ctx.Done():
			return
		case in = <-s.inputs:
		case r := <-s.asked:
			if in = take(waiting, r); in == nil {
				continue
			}
		case r := <-s.byCells:
			if in = take(waiting, r); in == nil {
				continue
			}
		case <-timer.C:
			in = controller.Tick{}
		}
		now := time.Now()
		outputs := s.core.Step(now, in)
		until := s.core.Authority()
		s.until.Store(&until)
		for _, o := range outputs {
			if a, ok := o.(controller.Answer); ok {
				if ch := waiting[a.Req]; ch != nil {
					ch <- answer{a, now}
					delete(waiting, a.Req)
				}
				continue
			}
			s.carryOut(o)
		}
		timer.Reset(time.Until(s.core.Wake()))
	}
}

// take notes who waits for the answer to a request, and returns what it asks; nothing if nobody waits
// any more: no work is wasted on what was refused already.
func take(waiting map[uint64]chan answer, r request) controller.Input {
	if time.Since(r.at) > answerTimeout {
		return nil
	}
	waiting[r.id] = r.reply
	return r.input
}

func (s *Server) carryOut(o controller.Output) {
	switch o := o.(type) {
	case controller.StateCall:
		go func() { s.inputs <- s.client.State(o) }()
	case controller.CloudCall:
		go func() { s.inputs <- s.client.Cloud(o) }()
	case controller.WorkerCall:
		go func() { s.inputs <- s.client.Worker(o) }()
	case controller.CellCall:
		go func() { s.inputs <- s.cells.Call(o) }()
	case controller.MeshSend:
		s.mesh.Send(o.To, o.Envelope)
	case controller.ZoneChanged, controller.TaskDisplaced, controller.TaskRestarted, controller.ZoneRecovered, controller.RecoveriesHandedOver:
		s.zones.Record(o)
	case controller.MoveChanged:
		s.moves.Record(o)
	case controller.Event:
		slog.Log(context.Background(), o.Level, o.Text, o.Attrs...)
	}
}

// ServeHTTP takes a request of a user, a worker or the load balancer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := s.nextID.Add(1)
	in, status := s.route(id, r)
	if status != 0 {
		respond(w, controller.Answer{Status: status, Body: wire.Error{Error: http.StatusText(status)}})
		return
	}
	a, ok := s.ask(id, in)
	if !ok {
		respond(w, overloaded())
		return
	}
	if _, report := in.(controller.ReportRequest); report && s.nearConnectionLimit() {
		// There may be more workers than sockets: none keeps one between reports.
		w.Header().Set("Connection", "close")
	}
	respond(w, a)
}

// ask has the core answer a request of a user, a worker or an operator.
func (s *Server) ask(id uint64, in controller.Input) (controller.Answer, bool) {
	return ask(s.asked, id, in)
}

// ask has the core answer a request by way of a queue. It has no answer where the core is overloaded or
// too slow.
func ask(queue chan<- request, id uint64, in controller.Input) (controller.Answer, bool) {
	reply := make(chan answer, 1)
	select {
	case queue <- request{id, in, time.Now(), reply}:
	default:
		return controller.Answer{}, false
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		// If the process stood still, or is far behind, what was true then may not be now.
		return a.Answer, time.Since(a.at) <= answerLife
	case <-timer.C:
		return controller.Answer{}, false
	}
}

func overloaded() controller.Answer {
	return controller.Answer{Status: http.StatusServiceUnavailable, Body: wire.Error{Error: "overloaded"}, RetryAfter: time.Second}
}

// route turns a request into an input, or tells the status that refuses it.
func (s *Server) route(id uint64, r *http.Request) (controller.Input, int) {
	path := r.URL.Path
	switch {
	case path == wire.PathReady:
		return controller.UserRequest{Req: id, Op: controller.UserReady}, method(r, http.MethodGet)
	case path == wire.PathReport:
		return s.routeReport(id, r)
	case path == wire.PathJobs:
		if st := method(r, http.MethodPost); st != 0 {
			return nil, st
		}
		body, err := readBody(r)
		if err != nil {
			return nil, http.StatusBadRequest
		}
		return controller.UserRequest{Req: id, Op: controller.UserSubmit, Body: body}, 0
	case strings.HasPrefix(path, wire.PathJobs+"/"):
		job := strings.TrimPrefix(path, wire.PathJobs+"/")
		if rest, ok := strings.CutSuffix(job, wire.PathAbort); ok && !strings.Contains(rest, "/") {
			return controller.UserRequest{Req: id, Op: controller.UserAbort, Job: rest}, method(r, http.MethodPost)
		}
		if strings.Contains(job, "/") {
			return nil, http.StatusNotFound
		}
		return controller.UserRequest{Req: id, Op: controller.UserPoll, Job: job}, method(r, http.MethodGet)
	}
	return nil, http.StatusNotFound
}

func (s *Server) routeReport(id uint64, r *http.Request) (controller.Input, int) {
	if st := method(r, http.MethodPost); st != 0 {
		return nil, st
	}
	// A worker's report may be larger than a user's request: it lists all tasks.
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*wire.MaxBody))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	in := controller.ReportRequest{Req: id}
	if wire.Unmarshal(body, &in.Report) != nil || in.Report.Machine == "" {
		return nil, http.StatusBadRequest
	}
	return in, 0
}

func method(r *http.Request, want string) int {
	if r.Method != want {
		return http.StatusMethodNotAllowed
	}
	return 0
}

var errTooLarge = errors.New("body too large")

func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err == nil && len(body) > wire.MaxBody {
		err = errTooLarge
	}
	return body, err
}

func respond(w http.ResponseWriter, a controller.Answer) {
	w.Header().Set("Content-Type", "application/cbor")
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	body := wire.Marshal(a.Body)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	if _, err := w.Write(body); err != nil {
		slog.Debug("answer not written", "err", err)
	}
}
