package controller

import (
	"net/http"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/wire"
)

// A worker that is sent to the leader and comes back soon can't reach it. Then
// its reports are handed on over the mesh: a leader that is cut off from the
// workers, but not from the state service and its peers, would otherwise keep
// the leadership while every lease runs out. The leader answers as it does any
// report; the worker itself refuses an answer that comes too late.

const (
	relayTimeout = time.Second      // the leader may be gone
	relayFor     = 30 * time.Second // then the worker is sent to the leader again
	relayModeFor = 5 * time.Second
	maxRelays    = 4096
	relayedReq   = 1 << 63 // marks requests that came over the mesh
)

// relays are the reports that are handed on, in both directions.
type relays struct {
	redirects     map[string]*redirected
	asked         map[uint64]ReportRequest // by id, waiting for the leader's answer
	serving       map[uint64]relayOrigin   // by request, to be answered over the mesh
	leaderUnheard time.Time                // until when the leader says that it hears few workers
}

// redirected is a worker that was sent to the leader.
type redirected struct {
	at       time.Time
	relaying time.Time // since; zero: it is expected to reach the leader
}

type relayOrigin struct {
	from string
	id   uint64
}

func (r *relays) init() {
	r.redirects = map[string]*redirected{}
	r.asked = map[uint64]ReportRequest{}
	r.serving = map[uint64]relayOrigin{}
}

// redirectOrRelay sends a worker to the leader, or its report if it has come back.
func (c *Core) redirectOrRelay(r ReportRequest) {
	leader := c.leaderName()
	if r.Req&relayedReq != 0 || leader == "" || len(c.relays.asked) > maxRelays || !c.returnedSoon(r.Report.Machine) {
		c.answer(r.Req, http.StatusMisdirectedRequest, wire.Redirect{Leader: leader})
		return
	}
	id := c.id()
	c.relays.asked[id] = r
	c.sendMesh(leader, &mesh.Envelope{Body: &mesh.Envelope_Relay{Relay: &mesh.Relay{Id: id, Report: wire.Marshal(r.Report)}}})
	c.after(relayTimeout, func() { c.relayAnswered(&mesh.RelayAnswer{Id: id}) })
}

// returnedSoon reports whether a worker was sent to the leader a short while ago, or
// need not be sent because the leader is known to be cut off.
func (c *Core) returnedSoon(machine string) bool {
	s := c.relays.redirects[machine]
	if s == nil {
		if len(c.relays.redirects) > maxRelays {
			clear(c.relays.redirects)
		}
		s = &redirected{}
		c.relays.redirects[machine] = s
	}
	window := config.Seconds(3*c.cfg.Facts.Workers.ReportS) + 5*time.Second
	recent := c.now.Sub(s.at) < window || c.now.Before(c.relays.leaderUnheard)
	s.at = c.now
	switch {
	case !recent || !s.relaying.IsZero() && c.now.Sub(s.relaying) > relayFor:
		s.relaying = time.Time{}
		return false
	case s.relaying.IsZero():
		s.relaying = c.now
	}
	return true
}

// relayAsked answers a report that another controller has handed on.
func (c *Core) relayAsked(from string, r *mesh.Relay) {
	in := ReportRequest{Req: c.id() | relayedReq}
	if wire.Unmarshal(r.Report, &in.Report) != nil || in.Report.Machine == "" {
		return
	}
	c.relays.serving[in.Req] = relayOrigin{from, r.Id}
	c.answerHeartbeat(in)
}

// answerRelayed sends an answer back over the mesh if its request came that way.
func (c *Core) answerRelayed(a Answer) bool {
	to, ok := c.relays.serving[a.Req]
	if !ok {
		return false
	}
	delete(c.relays.serving, a.Req)
	c.sendMesh(to.from, &mesh.Envelope{Body: &mesh.Envelope_Relayed{
		Relayed: &mesh.RelayAnswer{Id: to.id, Status: uint32(a.Status), Body: wire.Marshal(a.Body)}}})
	return true
}

// relayAnswered hands the leader's answer to the worker; anything but an answer
// that the leader was entitled to give sends it on to the next controller.
func (c *Core) relayAnswered(a *mesh.RelayAnswer) {
	r, ok := c.relays.asked[a.Id]
	if !ok {
		return
	}
	delete(c.relays.asked, a.Id)
	var body wire.ReportAnswer
	if a.Status != http.StatusOK || wire.Unmarshal(a.Body, &body) != nil {
		c.retryLater(r.Req, "leader not reached")
		return
	}
	c.answer(r.Req, http.StatusOK, body)
}
