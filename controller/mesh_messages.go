package controller

import (
	"slices"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// members returns the names of all controllers in order.
func (c *Core) members() []string {
	all := []string{c.cfg.Member}
	for _, o := range c.cfg.Others {
		all = append(all, o.Member)
	}
	slices.Sort(all)
	return all
}

// maxHints is the number of machine hints (see broadcastProgress) above which all are discarded: hints of released
// machines are not removed otherwise.
const maxHints = 4096

// sendMesh sends a message to another controller.
func (c *Core) sendMesh(to string, e *mesh.Envelope) {
	e.From = c.cfg.Member
	c.emit(MeshSend{To: to, Envelope: e})
}

// broadcast sends a message to all other controllers.
func (c *Core) broadcast(e *mesh.Envelope) {
	for _, o := range c.cfg.Others {
		c.sendMesh(o.Member, e)
	}
}

// handleMeshMessage handles a message from another controller.
func (c *Core) handleMeshMessage(e *mesh.Envelope) {
	switch body := e.Body.(type) {
	case *mesh.Envelope_Progress:
		for _, p := range body.Progress.Jobs {
			if c.watchCache.headers[p.Job] != nil {
				c.progress[p.Job] = jobCount{int(p.Done), int(p.Running)}
			}
		}
		if body.Progress.WorkersUnheard {
			c.relays.leaderCutOffUntil = c.now.Add(relayModePeriod)
		}
		if len(c.machineHints) > maxHints {
			clear(c.machineHints)
		}
		for _, h := range body.Progress.Hints {
			c.machineHints[h.Machine] = h
		}
	case *mesh.Envelope_DemandHints:
		for _, raw := range body.DemandHints.Jobs {
			if j := decode[wire.Job](raw); j != nil && j.CheckAmounts() == nil {
				c.recordDemandHint(j)
			}
		}
	case *mesh.Envelope_Relay:
		c.handleRelay(e.From, body.Relay)
	case *mesh.Envelope_Relayed:
		c.handleRelayAnswer(body.Relayed)
	case *mesh.Envelope_Ask:
		c.handlePeerLeaseRequest(e.From, body.Ask)
	case *mesh.Envelope_Promise:
		c.handlePeerLeaseResponse(e.From, body.Promise)
	}
}
