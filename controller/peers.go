package controller

import (
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
)

// promises is filled in by the riding through of outages.
type promises struct{ started time.Time }

func (c *Core) promised() bool     { return false }
func (c *Core) promiseBinds() bool { return false }

func (c *Core) broadcast(e *mesh.Envelope) {
	e.From = c.cfg.Member
	for _, o := range c.cfg.Others {
		c.emit(MeshSend{To: o.Member, Envelope: e})
	}
}

func (c *Core) meshMessage(e *mesh.Envelope) {
	if body, ok := e.Body.(*mesh.Envelope_Progress); ok {
		for _, p := range body.Progress.Jobs {
			if c.control.headers[p.Job] != nil {
				c.progress[p.Job] = jobCount{int(p.Done), int(p.Running)}
			}
		}
	}
}

func (c *Core) team(name string) *config.Team {
	for i := range c.cfg.Facts.Teams {
		if t := &c.cfg.Facts.Teams[i]; t.Name == name {
			return t
		}
	}
	return nil
}
