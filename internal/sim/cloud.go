package sim

import (
	"fmt"
	"net/http"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// cloud simulates the cloud's API, through which machines are rented and released.
type cloud struct {
	w          *World
	nextID     int
	rentals    map[string][]string // machines by rental request: a repeated request gets the same ones
	outage     bool
	maxPerType int // maximum number of machines of each type

	refusing map[string]bool // zones in which nothing can be rented
}

func newCloud(w *World) *cloud {
	return &cloud{w: w, rentals: map[string][]string{}, refusing: map[string]bool{}, maxPerType: (w.shape.Machines + 1) / 2}
}

func (c *cloud) call(n *member, call controller.CloudCall) {
	w, incarnation := c.w, n.incarnation
	reply := once(func(r controller.CloudReply) {
		r.ID = call.ID
		n.deliver(incarnation, r)
	})
	w.after(call.Timeout, func() { reply(controller.CloudReply{}) })
	lost := w.chance(0.02)
	delay := w.between(20*time.Millisecond, 150*time.Millisecond)
	if lost && w.chance(0.5) {
		delay = w.between(5*time.Second, 20*time.Second) // takes effect after the call has timed out
	}
	w.after(delay, func() {
		r, tampered := controller.CloudReply{}, false
		if w.Tamper.Cloud != nil {
			r, tampered = w.Tamper.Cloud(&call)
		}
		if !tampered {
			r = c.handle(call)
		}
		if !lost {
			reply(r)
		}
	})
}

func (c *cloud) handle(call controller.CloudCall) controller.CloudReply {
	if c.outage {
		return controller.CloudReply{Status: http.StatusServiceUnavailable}
	}
	r := controller.CloudReply{Status: http.StatusOK}
	switch call.Op {
	case controller.CloudTypes:
		r.Types.Types = c.w.shape.types()
	case controller.CloudRent:
		names, ok := c.rent(call.Rent)
		if !ok {
			return controller.CloudReply{Status: http.StatusServiceUnavailable}
		}
		r.Rented.Machines = names
	case controller.CloudRelease:
		for _, id := range call.MachineIDs {
			if h := c.w.host(id); h != nil {
				h.terminate()
			}
		}
	case controller.CloudList:
		r.Page = c.list(call.After)
	}
	return r
}

func (c *cloud) rent(r wire.RentRequest) ([]string, bool) {
	if names, ok := c.rentals[r.Request]; ok {
		return names, true
	}
	rented, limit := 0, c.maxPerType
	for _, h := range c.w.hosts {
		if !h.hasEnded && h.typ == r.Type && (c.w.shape.Zones == 0 || h.zone == r.Zone) {
			rented++
		}
	}
	if c.w.shape.Zones > 0 {
		limit = c.maxInZone(r.Zone)
	}
	names := []string{}
	for i := 0; i < r.Count && rented+i < limit; i++ {
		names = append(names, c.w.newHost(fmt.Sprintf("i-%06d", c.nextID), r.Type, r.Zone, r.Spot).id)
		c.nextID++
	}
	if len(names) == 0 {
		return nil, false
	}
	c.rentals[r.Request] = names
	return names, true
}

// maxInZone returns the maximum number of machines of each type in a zone.
func (c *cloud) maxInZone(zone string) int {
	if c.refusing[zone] {
		return 0
	}
	return (c.maxPerType + c.w.shape.Zones - 1) / c.w.shape.Zones
}

// list shows the machines as they were some time ago, between half and one and a half times
// the list lag: it omits newer machines and still contains those that ended since.
func (c *cloud) list(after string) wire.MachinePage {
	lag := time.Duration(c.w.cfg.Facts.Cloud.ListLagS * float64(time.Second) * (0.5 + c.w.rng.Float64()))
	var p wire.MachinePage
	for _, h := range c.w.hosts {
		asOf := c.w.now - lag
		if h.id <= after || h.rentedAt > asOf || h.hasEnded && h.endedAt < asOf {
			continue
		}
		state := wire.MachineRunning
		if h.bootedAt > asOf {
			state = wire.MachineBooting
		}
		p.Machines = append(p.Machines, wire.Machine{ID: h.id, Addr: h.address(), Type: h.typ, Zone: h.zone, Spot: h.spot, State: state,
			AgeS: (asOf - h.rentedAt).Seconds()})
	}
	return p
}
