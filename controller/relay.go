package controller

import (
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/wire"
)

// Relay of heartbeats to the leader.
//
// A worker that is redirected to the leader and returns soon cannot reach it. Its heartbeats are
// then relayed over the mesh: a leader that is cut off from the workers, but not from the state
// service and the other controllers, would otherwise keep the leadership while every machine lease
// expires. The leader answers a relayed heartbeat like any other. The worker itself rejects an
// answer that arrives too late.

const (
	relayTimeout       = time.Second      // the leader may have failed
	maxRelayPeriod     = 30 * time.Second // afterwards the worker is redirected to the leader again
	relayModePeriod    = 5 * time.Second  // how long heartbeats are relayed after the leader reported that most workers can't reach it
	maxRelays          = 4096
	relayedRequestFlag = 1 << 63 // set in the IDs of requests that came over the mesh
)

// relays holds the heartbeats that are being relayed, in both directions.
type relays struct {
	redirects         map[string]*redirectedWorker
	awaitingLeader    map[uint64]ReportRequest // by relay ID
	relayedRequests   map[uint64]relayOrigin   // by request ID, to be answered over the mesh
	leaderCutOffUntil time.Time                // until then the leader is assumed to be cut off from most workers
}

// redirectedWorker is a worker that was redirected to the leader.
type redirectedWorker struct {
	lastRequest   time.Time // its last heartbeat to this controller
	relayingSince time.Time // zero: the worker is expected to reach the leader
}

// relayOrigin identifies a relayed heartbeat at the controller that relayed it.
type relayOrigin struct {
	from string
	id   uint64
}

func (r *relays) init() {
	r.redirects = map[string]*redirectedWorker{}
	r.awaitingLeader = map[uint64]ReportRequest{}
	r.relayedRequests = map[uint64]relayOrigin{}
}

// redirectOrRelay redirects a worker to the leader, or relays its heartbeat if the worker could not
// reach the leader.
func (c *Core) redirectOrRelay(r ReportRequest) {
	leader := c.leaderName()
	if r.Req&relayedRequestFlag != 0 || leader == "" || len(c.relays.awaitingLeader) > maxRelays || !c.shouldRelay(r.Report.Machine) {
		c.answer(r.Req, http.StatusMisdirectedRequest, wire.Redirect{Leader: leader})
		return
	}
	id := c.id()
	c.relays.awaitingLeader[id] = r
	c.sendMesh(leader, &mesh.Envelope{Body: &mesh.Envelope_Relay{Relay: &mesh.Relay{Id: id, Report: wire.Marshal(r.Report)}}})
	c.after(relayTimeout, func() { c.handleRelayAnswer(&mesh.RelayAnswer{Id: id}) })
}

// shouldRelay reports whether to relay the heartbeat of a worker instead of redirecting it: the worker
// was redirected a short time ago, or the leader is known to be cut off from the workers. After
// maxRelayPeriod of relaying the worker is redirected again. The call is recorded as the worker's
// last request.
func (c *Core) shouldRelay(machine string) bool {
	s := c.relays.redirects[machine]
	if s == nil {
		if len(c.relays.redirects) > maxRelays {
			clear(c.relays.redirects)
		}
		s = &redirectedWorker{}
		c.relays.redirects[machine] = s
	}
	window := config.Seconds(3*c.cfg.Facts.Workers.ReportS) + 5*time.Second
	recent := c.now.Sub(s.lastRequest) < window || c.now.Before(c.relays.leaderCutOffUntil)
	s.lastRequest = c.now
	switch {
	case !recent || !s.relayingSince.IsZero() && c.now.Sub(s.relayingSince) > maxRelayPeriod:
		s.relayingSince = time.Time{}
		return false
	case s.relayingSince.IsZero():
		s.relayingSince = c.now
	}
	return true
}

// handleRelay answers a heartbeat that another controller has relayed.
func (c *Core) handleRelay(from string, r *mesh.Relay) {
	in := ReportRequest{Req: c.id() | relayedRequestFlag}
	if wire.Unmarshal(r.Report, &in.Report) != nil || in.Report.Machine == "" {
		return
	}
	c.relays.relayedRequests[in.Req] = relayOrigin{from, r.Id}
	c.answerHeartbeat(in)
}

// answerRelayed sends an answer over the mesh if its request arrived over the mesh, and reports
// whether it did.
func (c *Core) answerRelayed(a Answer) bool {
	to, ok := c.relays.relayedRequests[a.Req]
	if !ok {
		return false
	}
	delete(c.relays.relayedRequests, a.Req)
	c.sendMesh(to.from, &mesh.Envelope{Body: &mesh.Envelope_Relayed{
		Relayed: &mesh.RelayAnswer{Id: to.id, Status: uint32(a.Status), Body: wire.Marshal(a.Body)}}})
	return true
}

// handleRelayAnswer passes the leader's answer on to the worker. On anything but the 200 of a leader
// with authority the request is refused, so that the worker tries the next controller.
func (c *Core) handleRelayAnswer(a *mesh.RelayAnswer) {
	r, ok := c.relays.awaitingLeader[a.Id]
	if !ok {
		return
	}
	delete(c.relays.awaitingLeader, a.Id)
	var body wire.ReportAnswer
	if a.Status != http.StatusOK || wire.Unmarshal(a.Body, &body) != nil {
		c.retryLater(r.Req, "leader not reached")
		return
	}
	c.answer(r.Req, http.StatusOK, body)
}
