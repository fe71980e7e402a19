//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"pumicefront/wire"
)

// cloud is the cloud: it rents out machines, each of which has a worker.
type cloud struct {
	d        *deployment
	mu       sync.Mutex
	types    []wire.MachineType
	next     int // number in the name of the next machine
	rentals  map[string][]string
	machines []*cloudMachine
	capacity map[string]int // machines left to rent, by zone
	lag      time.Duration  // of the list
	boot     time.Duration
}

type cloudMachine struct {
	worker           *worker
	rented           time.Time
	up, failed, gone time.Time
}

func newCloud(d *deployment) *cloud {
	return &cloud{d: d, rentals: map[string][]string{}, capacity: map[string]int{}, lag: time.Second, boot: 2 * time.Second}
}

// add makes a machine that boots for the given time. The caller holds the lock.
func (c *cloud) add(name, typ, zone string, spot bool, boot time.Duration) *cloudMachine {
	m := &cloudMachine{worker: newWorker(c.d, name, typ, zone, spot, c.typeOf(typ)), rented: time.Now()}
	m.up = m.rented.Add(boot)
	c.machines = append(c.machines, m)
	time.AfterFunc(boot, m.worker.begin)
	return m
}

// preset adds a machine that is there from the start, and returns its worker.
func (c *cloud) preset(name, typ, zone string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(name, typ, zone, false, 0).worker
}

func (c *cloud) typeOf(name string) wire.MachineType {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// stopMachine stops a machine with all that is on it. It stays in the list as running for a while, then as
// failed until it is deleted.
func (c *cloud) stopMachine(name string, failedAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker.id == name {
			m.failed = time.Now().Add(failedAfter)
			m.worker.end("the machine has stopped")
		}
	}
}

// deleted reports whether a machine has been deleted.
func (c *cloud) deleted(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker.id == name {
			return !m.gone.IsZero()
		}
	}
	return false
}

// ServeHTTP handles a request of a controller.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathMachineTypes:
		answer(w, http.StatusOK, wire.MachineTypes{Types: c.types})
	case r.URL.Path == wire.PathRelease:
		ids := decodeBody[wire.MachineIDs](r)
		c.d.note("cloud: deleted %v", ids.Machines)
		for _, m := range c.machines {
			for _, id := range ids.Machines {
				if m.worker.id == id && m.gone.IsZero() {
					m.gone = time.Now()
					m.worker.end("the machine was deleted")
				}
			}
		}
		answer(w, http.StatusOK, struct{}{})
	case r.URL.Path == wire.PathMachines && r.Method == http.MethodPost:
		c.rent(w, decodeBody[wire.RentRequest](r))
	case r.URL.Path == wire.PathMachines:
		answer(w, http.StatusOK, c.list(r.URL.Query().Get("after")))
	default:
		answer(w, http.StatusNotFound, struct{}{})
	}
}

func (c *cloud) rent(w http.ResponseWriter, r wire.RentRequest) {
	names, known := c.rentals[r.Request]
	for i := 0; !known && i < r.Count && c.capacity[r.Zone] > 0; i++ {
		c.next++
		c.capacity[r.Zone]--
		names = append(names, c.add(fmt.Sprintf("i-%06d", c.next), r.Type, r.Zone, r.Spot, c.boot).worker.id)
	}
	c.d.note("cloud: asked for %d %s in %s (spot %v, request %s), rents %v", r.Count, r.Type, r.Zone, r.Spot, r.Request, names)
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	c.rentals[r.Request] = names
	answer(w, http.StatusOK, wire.MachineIDs{Machines: names})
}

// list shows the machines as they were one lag ago.
func (c *cloud) list(after string) wire.MachinePage {
	asOf := time.Now().Add(-c.lag)
	before := func(t time.Time) bool { return !t.IsZero() && t.Before(asOf) }
	p := wire.MachinePage{Machines: []wire.Machine{}}
	for _, m := range c.machines {
		if m.worker.id <= after || !before(m.rented) || before(m.gone) {
			continue
		}
		state := wire.MachineBooting
		switch {
		case before(m.failed):
			state = wire.MachineFailed
		case before(m.up):
			state = wire.MachineRunning
		}
		p.Machines = append(p.Machines, wire.Machine{ID: m.worker.id, Addr: m.worker.addr, Type: m.worker.typ, Zone: m.worker.zone,
			Spot: m.worker.spot, State: state, AgeS: asOf.Sub(m.rented).Seconds()})
	}
	sort.Slice(p.Machines, func(i, j int) bool { return p.Machines[i].ID < p.Machines[j].ID })
	return p
}
