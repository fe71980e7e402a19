//go:build review

package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"pumicefront/wire"
)

// worker is the worker on one machine.
type worker struct {
	d             *deployment
	id, typ, zone string
	spot          bool
	size          wire.MachineType
	addr          string

	mu                    sync.Mutex
	up, ended             bool
	session, tally, token uint64
	tasks                 []*workerTask
	images                map[string]bool
	leaseFrom             time.Time
	node                  int
	changed               chan struct{}
	seenAt                time.Time // when a higher token was last reported as a change
}

// workerTask is one attempt of a task on a machine.
type workerTask struct {
	wire.Task
	job *job
}

func newWorker(d *deployment, id, typ, zone string, spot bool, size wire.MachineType) *worker {
	w := &worker{d: d, id: id, typ: typ, zone: zone, spot: spot, size: size, images: map[string]bool{}, changed: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCommands, w.serveCommands)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(rw, http.StatusOK, w.report())
	})
	w.addr = d.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		reachable := w.up && !w.ended
		w.mu.Unlock()
		if !reachable { // a machine that is not up, or without power, says nothing
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(rw, r)
	}))
	return w
}

// begin starts the worker once its machine is up.
func (w *worker) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.up, w.session, w.leaseFrom = true, 1, time.Now()
	w.node = rand.IntN(len(w.d.nodes))
	w.d.note("%s (%s in %s): up", w.id, w.typ, w.zone)
	go w.reportLoop()
	go w.leaseLoop()
}

// end ends the machine with all that is on it.
func (w *worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.d.note("%s: %s, with %d tasks", w.id, why, len(w.tasks))
	for _, t := range w.tasks {
		w.d.cuts.ends(t.ID, w.id)
	}
	w.tasks = nil
}

func (w *worker) lease() time.Duration {
	return time.Duration(w.d.settings.LeaseS * float64(time.Second))
}

func (w *worker) leaseLoop() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		if time.Since(w.leaseFrom) > w.lease() {
			w.d.note("%s: lease over, %d tasks killed", w.id, len(w.tasks))
			w.session++
			for _, t := range w.tasks {
				w.d.cuts.ends(t.ID, w.id)
			}
			w.tasks, w.leaseFrom = nil, time.Now()
			w.signal()
		}
		w.mu.Unlock()
	}
}

// signal asks for a report of a change.
func (w *worker) signal() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds the lock.
func (w *worker) report() wire.Report {
	w.tally++
	r := wire.Report{Machine: w.id, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.tally, Token: w.token, Tasks: []wire.Task{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.Task)
	}
	return r
}

func (w *worker) reportLoop() {
	for {
		next := w.sendReport()
		w.mu.Lock()
		ended := w.ended
		w.mu.Unlock()
		if ended {
			return
		}
		if next > 0 { // the last report was not taken
			time.Sleep(next)
			continue
		}
		pause := time.Duration(w.d.settings.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		time.Sleep(500 * time.Millisecond)
		select {
		case <-w.changed:
		case <-time.After(pause - 500*time.Millisecond):
		}
	}
}

// sendReport sends one report. It returns 0 if the report was taken, and otherwise when to send the next.
func (w *worker) sendReport() time.Duration {
	w.mu.Lock()
	rep, n, sent := w.report(), w.node, time.Now()
	w.mu.Unlock()
	if w.d.cuts.loses(w.d.nodes[n]) {
		time.Sleep(4 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.node = (n + 1) % len(w.d.nodes)
		return time.Second
	}
	status, raw := w.d.post(w.d.nodes[n].addr, wire.PathReport, wire.Marshal(rep), 4*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return time.Second
	}
	if status == http.StatusOK {
		var a wire.ReportAnswer
		if wire.Unmarshal(raw, &a) == nil && rep.Session == w.session && a.Token >= w.token && a.Token > 0 {
			w.leaseFrom = sent
			w.see(a.Token)
			w.execute(a.Commands)
		}
		return 0
	}
	var redirect wire.Redirect
	if status == http.StatusMisdirectedRequest && wire.Unmarshal(raw, &redirect) == nil {
		for i, node := range w.d.nodes {
			if node.name == redirect.Leader && i != n {
				w.node = i
				return time.Duration(1+rand.IntN(500))*time.Millisecond + time.Nanosecond
			}
		}
	}
	w.node = (n + 1) % len(w.d.nodes)
	return time.Second
}

// see stores a token. A higher one counts as a change at most once in half of the lease.
func (w *worker) see(token uint64) {
	if token > w.token {
		w.token = token
		if time.Since(w.seenAt) > w.lease()/2 {
			w.seenAt = time.Now()
			w.signal()
		}
	}
}

func (w *worker) serveCommands(rw http.ResponseWriter, r *http.Request) {
	c := decodeBody[wire.Commands](r)
	w.d.cuts.mu.Lock()
	lost := w.d.cuts.workers != "" && c.Token <= w.d.cuts.token
	w.d.cuts.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Token < w.token || c.Session != w.session {
		answer(rw, http.StatusConflict, w.report())
		return
	}
	w.see(c.Token)
	w.execute(c.Commands)
	answer(rw, http.StatusOK, w.report())
}

func (w *worker) find(id string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.ID == id && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *worker) execute(commands []wire.Command) {
	for _, c := range commands {
		t := w.find(c.Task, c.Attempt)
		switch {
		case c.Op == wire.OpRun && t == nil:
			w.start(c.Task, c.Attempt)
		case c.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.exit(t, wire.ExitReasonStopped)
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			for i, o := range w.tasks {
				if o == t {
					w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
					break
				}
			}
		}
	}
}

func (w *worker) exit(t *workerTask, why string) {
	t.State, t.ExitReason = wire.TaskExited, why
	w.d.cuts.ends(t.ID, w.id)
	w.d.note("%s: %s attempt %d ended: %s", w.id, t.ID, t.Attempt, why)
	w.signal()
}

// free returns the cores and the memory that no task takes. The caller holds the lock.
func (w *worker) free() (cores, memory float64) {
	cores, memory = w.size.CPUs, w.size.MemoryGB
	for _, t := range w.tasks {
		if t.State != wire.TaskExited && t.job != nil {
			cores, memory = cores-t.job.spec.CPUs, memory-t.job.spec.MemoryGB
		}
	}
	return cores, memory
}

func (w *worker) start(id string, attempt uint64) {
	jobID, number, _ := wire.SplitTaskID(id)
	j := w.d.job(jobID)
	cores, memory := w.free()
	t := &workerTask{Task: wire.Task{ID: id, Attempt: attempt, State: wire.TaskFetching}, job: j}
	busy := false
	for _, o := range w.tasks {
		busy = busy || o.ID == id && o.State != wire.TaskExited
	}
	w.tasks = append(w.tasks, t)
	switch {
	case j == nil || number >= j.spec.Tasks:
		w.exit(t, wire.ExitReasonUnknownJob)
		return
	case busy:
		w.exit(t, wire.ExitReasonBusy)
		return
	case cores+1e-6 < j.spec.CPUs || memory+1e-6 < j.spec.MemoryGB:
		w.exit(t, wire.ExitReasonNoCapacity)
		return
	}
	w.d.note("%s: %s attempt %d accepted", w.id, id, attempt)
	w.signal()
	fetch := 20 * time.Millisecond
	if !w.images[j.spec.Image] {
		fetch = 300 * time.Millisecond
	}
	w.later(t, fetch, func() {
		w.images[j.spec.Image] = true
		t.State = wire.TaskRunning
		w.d.cuts.begins(id, w.id)
		w.d.note("%s: %s attempt %d runs", w.id, id, attempt)
		w.signal()
		if j.fails != nil && j.fails(w, number) {
			w.later(t, 200*time.Millisecond, func() { w.exit(t, wire.ExitReasonError) })
			return
		}
		if j.spec.Kind == wire.KindArray {
			w.later(t, j.runs, func() {
				j.finish(number)
				w.exit(t, wire.ExitReasonDone)
			})
		}
	})
}

// later runs fn after a pause if the task is then still on the machine.
func (w *worker) later(t *workerTask, pause time.Duration, fn func()) {
	time.AfterFunc(pause, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended && t.State != wire.TaskExited && w.find(t.ID, t.Attempt) == t {
			fn()
		}
	})
}
