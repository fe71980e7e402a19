//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"pumicefront/wire"
)

// cloud is a stand-in for the cloud.
type cloud struct {
	mu       sync.Mutex
	d        *deployment
	types    []wire.MachineType
	capacity map[string]int // machines that exist at most, by type
	boot     time.Duration
	lag      time.Duration
	rented   map[string][]string
	workers  []*worker // in order of creation
}

func (c *cloud) listen() string {
	return serve(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 65<<10))
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		status, answer := c.handle(r, body)
		writeCBOR(w, status, answer)
	})
}

func (c *cloud) handle(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == wire.PathMachineTypes:
		return http.StatusOK, wire.MachineTypes{Types: c.types}
	case r.URL.Path == wire.PathRelease:
		var ids wire.MachineIDs
		if wire.Unmarshal(body, &ids) != nil || len(ids.Machines) > 100 {
			return http.StatusBadRequest, errorBody{"malformed"}
		}
		for _, id := range ids.Machines {
			for _, m := range c.workers {
				if m.id == id {
					m.end()
				}
			}
		}
		return http.StatusOK, struct{}{}
	case r.URL.Path == wire.PathMachines && r.Method == http.MethodPost:
		var req wire.RentRequest
		if wire.Unmarshal(body, &req) != nil || req.Count < 1 || req.Count > 50 {
			return http.StatusBadRequest, errorBody{"malformed"}
		}
		return c.rent(req)
	case r.URL.Path == wire.PathMachines:
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		return http.StatusOK, c.list(r.URL.Query().Get("after"), limit)
	}
	return http.StatusBadRequest, errorBody{"malformed"}
}

func (c *cloud) rent(req wire.RentRequest) (int, any) {
	if ids, ok := c.rented[req.Request]; ok {
		return http.StatusOK, wire.MachineIDs{Machines: ids}
	}
	alive := 0
	for _, m := range c.workers {
		if m.typ == req.Type && !m.hasEnded() {
			alive++
		}
	}
	ids := []string{}
	for alive < c.capacity[req.Type] && len(ids) < req.Count {
		m := newWorker(c.d, fmt.Sprintf("i-%06d", len(c.workers)), req.Type, req.Zone, req.Spot, c.boot)
		c.workers = append(c.workers, m)
		ids = append(ids, m.id)
		alive++
	}
	if len(ids) == 0 {
		return http.StatusServiceUnavailable, errorBody{"no capacity"}
	}
	c.rented[req.Request] = ids
	return http.StatusOK, wire.MachineIDs{Machines: ids}
}

// list shows the machines as they were the lag ago.
func (c *cloud) list(after string, limit int) wire.MachinePage {
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	asOf := time.Now().Add(-c.lag)
	p := wire.MachinePage{Machines: []wire.Machine{}}
	for _, m := range c.workers {
		if m.id <= after || m.rentedAt.After(asOf) || m.hasEnded() && m.endTime().Before(asOf) {
			continue
		}
		if len(p.Machines) >= limit {
			p.More = true
			break
		}
		state := wire.MachineBooting
		if m.bootAt.Before(asOf) {
			state = wire.MachineRunning
		}
		p.Machines = append(p.Machines, wire.Machine{ID: m.id, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, State: state, AgeS: asOf.Sub(m.rentedAt).Seconds()})
	}
	return p
}

// idle returns how many machines are up and have no task that waits, runs or saves.
func (c *cloud) idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, m := range c.workers {
		m.mu.Lock()
		busy := slices.ContainsFunc(m.tasks, func(t *workerTask) bool { return t.state != wire.TaskExited })
		if m.up && !m.ended && !busy {
			n++
		}
		m.mu.Unlock()
	}
	return n
}
