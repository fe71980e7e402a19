package controller

import (
	"slices"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// members lists all controllers.
func (c *Core) members() []string {
	all := []string{c.cfg.Member}
	for _, o := range c.cfg.Others {
		all = append(all, o.Member)
	}
	slices.Sort(all)
	return all
}

// maxHints bounds the machines of which hints are remembered.
const maxHints = 4096

func (c *Core) sendMesh(to string, e *mesh.Envelope) {
	e.From = c.cfg.Member
	c.emit(MeshSend{To: to, Envelope: e})
}

func (c *Core) broadcast(e *mesh.Envelope) {
	for _, o := range c.cfg.Others {
		c.sendMesh(o.Member, e)
	}
}

func (c *Core) meshMessage(e *mesh.Envelope) {
	switch body := e.Body.(type) {
	case *mesh.Envelope_Progress:
		for _, p := range body.Progress.Jobs {
			if c.control.headers[p.Job] != nil {
				c.progress[p.Job] = jobCount{int(p.Done), int(p.Running)}
			}
		}
		if body.Progress.WorkersUnheard {
			c.relays.leaderUnheard = c.now.Add(relayModeFor)
		}
		if len(c.hints) > maxHints {
			clear(c.hints)
		}
		for _, h := range body.Progress.Hints {
			c.hints[h.Machine] = h
		}
	case *mesh.Envelope_DemandHints:
		for _, raw := range body.DemandHints.Jobs {
			if j := decode[wire.Job](raw); j != nil {
				c.noteDemandHint(j)
			}
		}
	case *mesh.Envelope_Relay:
		c.relayAsked(e.From, body.Relay)
	case *mesh.Envelope_Relayed:
		c.relayAnswered(body.Relayed)
	case *mesh.Envelope_Ask:
		c.promiseAsked(e.From, body.Ask)
	case *mesh.Envelope_Promise:
		c.promiseAnswered(e.From, body.Promise)
	}
}
