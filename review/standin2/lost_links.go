//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"pumicefront/wire"
)

// cuts are the links of controllers that are cut. Packets on a link that is cut are lost.
type cuts struct {
	mu       sync.Mutex
	workers  string // the controller that is cut off from the workers; empty: none
	token    uint64 // highest token that a worker had seen then: commands up to it come from that controller
	state    string // the controller that is cut off from the state service
	problems []string
	running  map[string]string // machine of each task that runs
}

func (c *cuts) loses(n *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers == n.name
}

// begins notes a start, and a problem if the task runs on another machine.
func (c *cuts) begins(id, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, found := c.running[id]; found {
		c.problems = append(c.problems, fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", id, machine, at))
	}
	if c.running == nil {
		c.running = map[string]string{}
	}
	c.running[id] = machine
}

func (c *cuts) ends(id, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[id] == machine {
		delete(c.running, id)
	}
}

// leader returns the controller that the leader key names, or nil.
func (d *deployment) leader() *node {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var record struct {
		Member string `cbor:"m"`
	}
	if wire.Unmarshal(d.store.items["c/leader"].Value, &record) != nil {
		return nil
	}
	for _, n := range d.nodes {
		if n.name == record.Member {
			return n
		}
	}
	return nil
}

// triedLostLinks is no case: it plays one entry of the open issues. The leader loses its workers for 35 s, and later the
// next one the state service, while jobs come, run, and are cancelled.
func triedLostLinks(d *deployment, trouble bool) (bool, error) {
	d.cloud.types = []wire.MachineType{veldbak}
	d.cloud.capacity["zone-a"], d.cloud.capacity["zone-b"] = 4, 4
	if err := d.startControllers(3); err != nil {
		return false, err
	}
	for range 4 {
		d.cloud.preset(d.nextName("kraal-0"), "veldbak", "zone-a")
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	finals := map[string]string{}
	var mu sync.Mutex
	check := func(id string) {
		n := d.nodes[int(time.Now().UnixNano()/1000)%3]
		status, state := d.poll(n, id)
		mu.Lock()
		defer mu.Unlock()
		if status == http.StatusNotFound {
			d.cuts.problems = append(d.cuts.problems, "forgotten: "+id)
		}
		if status != http.StatusOK {
			return
		}
		if was := finals[id]; was != "" && was != state.State {
			d.cuts.problems = append(d.cuts.problems, fmt.Sprintf("went_back: %s was %s, is %s", id, was, state.State))
		}
		if state.State == wire.StateDone || state.State == wire.StateCancelled {
			finals[id] = state.State
		}
	}
	go func() {
		for number := 1; time.Since(d.began) < 95*time.Second; number++ {
			id := fmt.Sprintf("req-%06d", number)
			j := &job{runs: 8 * time.Second, spec: wire.Job{ID: id, Class: "herbeluister", Team: "opname", Kind: wire.KindArray, Priority: "standard",
				Tasks: 1 + number%5, CPUs: 4, MemoryGB: 8, Image: "img-herbeluister", ImageGB: 1.5, EstimateS: 8}}
			go func() {
				if d.submit(j) != nil {
					return
				}
				if number%4 == 0 {
					time.Sleep(time.Duration(number%7) * time.Second)
					for i := range 40 {
						status, raw := d.post(d.nodes[i%3].addr, wire.PathJobs+"/"+id+wire.PathCancel, nil, 5*time.Second)
						var state wire.JobState
						_ = wire.Unmarshal(raw, &state)
						d.note("user: cancels %s: %d %s", id, status, state.State)
						if status == http.StatusOK {
							mu.Lock()
							finals[id] = state.State
							mu.Unlock()
							break
						}
						time.Sleep(time.Second)
					}
				}
				for time.Since(d.began) < 110*time.Second {
					check(id)
					time.Sleep(3 * time.Second)
				}
			}()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	time.Sleep(15 * time.Second)
	if n := d.leader(); trouble && n != nil {
		token := uint64(0)
		for _, w := range d.workers() {
			w.mu.Lock()
			token = max(token, w.token)
			w.mu.Unlock()
		}
		d.cuts.mu.Lock()
		d.cuts.workers, d.cuts.token = n.name, token
		d.cuts.mu.Unlock()
		d.note("trouble: %s loses the workers", n.name)
		time.Sleep(35 * time.Second)
		d.cuts.mu.Lock()
		d.cuts.workers = ""
		d.cuts.mu.Unlock()
		d.note("trouble: the workers are back")
	}
	time.Sleep(5 * time.Second)
	if n := d.leader(); trouble && n != nil {
		d.cuts.mu.Lock()
		d.cuts.state = n.name
		d.cuts.mu.Unlock()
		d.note("trouble: %s loses the state service", n.name)
		time.Sleep(25 * time.Second)
		d.cuts.mu.Lock()
		d.cuts.state = ""
		d.cuts.mu.Unlock()
		d.note("trouble: the state service is back")
	}
	time.Sleep(time.Until(d.began.Add(114 * time.Second)))
	d.cuts.mu.Lock()
	defer d.cuts.mu.Unlock()
	done := 0
	mu.Lock()
	for range finals {
		done++
	}
	mu.Unlock()
	fmt.Println(len(d.allJobs()), "jobs,", done, "with a final answer; problems:", d.cuts.problems)
	return len(d.cuts.problems) == 0, nil
}
