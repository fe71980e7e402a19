//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"pumicefront/wire"
)

// worker is a stand-in for a machine with its worker, after the protocol's page.
type worker struct {
	d             *deployment
	id, typ, zone string
	spot          bool
	addr          string
	rentedAt      time.Time
	bootAt        time.Time
	client        *http.Client

	mu                    sync.Mutex
	up                    bool
	ended                 bool
	endedAt               time.Time
	session, seq, token   uint64
	tasks                 []*workerTask
	images                map[string]bool
	leaseStart            time.Time
	node                  int
	changed               chan struct{}
	lastReport, nextTimed time.Time
}

// workerTask is one attempt on a machine.
type workerTask struct {
	id      string
	attempt uint64
	job     *userJob
	state   string
	cause   string
	saved   bool
	timer   *time.Timer
	begun   time.Time
}

func newWorker(d *deployment, id, typ, zone string, spot bool, boot time.Duration) *worker {
	w := &worker{d: d, id: id, typ: typ, zone: zone, spot: spot, rentedAt: time.Now(), bootAt: time.Now().Add(boot), session: 1,
		images: map[string]bool{}, node: rand.IntN(len(d.nodes)), changed: make(chan struct{}, 1), client: &http.Client{Timeout: 4 * time.Second}}
	w.addr = serve(w.serveHTTP)
	time.AfterFunc(boot, w.run)
	return w
}

func (w *worker) hasEnded() bool     { w.mu.Lock(); defer w.mu.Unlock(); return w.ended }
func (w *worker) endTime() time.Time { w.mu.Lock(); defer w.mu.Unlock(); return w.endedAt }

// end ends the machine and all on it.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.killAll("machine released")
	w.ended, w.endedAt = true, time.Now()
}

func (w *worker) killAll(why string) {
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		if t.state == wire.TaskRunning || t.state == wire.TaskSaving {
			w.d.taskLeft(w, t, why)
		}
		t.state = wire.TaskExited
	}
	w.tasks = nil
}

func (w *worker) run() {
	w.mu.Lock()
	w.up, w.leaseStart, w.nextTimed = true, time.Now(), time.Now()
	w.mu.Unlock()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			w.mu.Lock()
			if w.ended {
				w.mu.Unlock()
				return
			}
			if time.Since(w.leaseStart).Seconds() > w.d.site.leaseS {
				w.killAll("lease ended")
				w.session++
				w.leaseStart = time.Now()
				w.wake()
			}
			w.mu.Unlock()
		}
	}()
	for {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		pause := time.Until(w.nextTimed)
		w.mu.Unlock()
		timer := time.NewTimer(pause)
		select {
		case <-w.changed:
			w.mu.Lock()
			gap := 500*time.Millisecond - time.Since(w.lastReport)
			w.mu.Unlock()
			time.Sleep(gap)
		case <-timer.C:
		}
		timer.Stop()
		w.report()
	}
}

func (w *worker) wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *worker) buildReport() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.id, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.Task{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, wire.Task{ID: t.id, Attempt: t.attempt, State: t.state, ExitReason: t.cause, Saved: t.saved})
	}
	return r
}

// report sends one report and handles its answer.
func (w *worker) report() {
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	r, sent := w.buildReport(), time.Now()
	w.lastReport = sent
	w.nextTimed = sent.Add(time.Duration(w.d.site.reportS * (0.75 + rand.Float64()/2) * float64(time.Second)))
	target := w.d.nodes[w.node]
	w.mu.Unlock()
	status, raw := w.post(target.clientAddr, wire.Marshal(r))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.session != r.Session {
		return
	}
	next := func() {
		w.node = (w.node + 1) % len(w.d.nodes)
		w.nextTimed = time.Now().Add(time.Second)
	}
	switch {
	case status == http.StatusOK:
		var a wire.ReportAnswer
		if wire.Unmarshal(raw, &a) != nil || a.Token < w.token || a.Token == 0 || time.Since(sent) > 4*time.Second {
			return
		}
		w.leaseStart = sent
		w.raise(a.Token)
		w.execute(a.Commands)
	case status == http.StatusMisdirectedRequest:
		var a wire.Redirect
		_ = wire.Unmarshal(raw, &a)
		to := slices.IndexFunc(w.d.nodes, func(n *node) bool { return n.name == a.Leader })
		if to < 0 || to == w.node {
			next()
			return
		}
		w.node, w.nextTimed = to, time.Now().Add(time.Duration(rand.IntN(500))*time.Millisecond)
	default:
		next()
	}
}

func (w *worker) post(addr string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathReport, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

func (w *worker) raise(token uint64) {
	if token > w.token {
		w.token = token
		w.wake()
	}
}

func (w *worker) serveHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 65<<10))
	if err != nil {
		return
	}
	w.mu.Lock()
	if w.ended || !w.up {
		w.mu.Unlock()
		<-r.Context().Done() // a machine that is gone says nothing
		return
	}
	status, report := http.StatusOK, wire.Report{}
	switch {
	case r.URL.Path == wire.PathCommands:
		var c wire.Commands
		switch {
		case wire.Unmarshal(body, &c) != nil || c.Token == 0:
			status = http.StatusBadRequest
		case c.Token < w.token || c.Session != w.session:
			status = http.StatusConflict
		default:
			w.raise(c.Token)
			w.execute(c.Commands)
		}
	case r.URL.Path != "/show":
		status = http.StatusNotFound
	}
	report = w.buildReport()
	w.mu.Unlock()
	writeCBOR(rw, status, report)
}

func (w *worker) find(id string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.id == id && t.attempt == attempt {
			return t
		}
	}
	return nil
}

func (w *worker) execute(commands []wire.Command) {
	for _, c := range commands {
		t := w.find(c.Task, c.Attempt)
		switch c.Op {
		case wire.OpRun:
			if t == nil {
				w.start(c.Task, c.Attempt)
			}
		case wire.OpStop:
			if t != nil && t.state != wire.TaskExited {
				w.exit(t, wire.ExitReasonStopped)
			}
		case wire.OpForget:
			if t != nil && t.state == wire.TaskExited {
				w.tasks = slices.DeleteFunc(w.tasks, func(o *workerTask) bool { return o == t })
			}
		}
	}
}

func (w *worker) exit(t *workerTask, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.state == wire.TaskRunning || t.state == wire.TaskSaving {
		w.d.taskLeft(w, t, cause)
	}
	t.state, t.cause = wire.TaskExited, cause
	w.wake()
}

func (w *worker) start(id string, attempt uint64) {
	uid, _, _ := wire.SplitTaskID(id)
	job := w.d.job(uid)
	t := &workerTask{id: id, attempt: attempt, state: wire.TaskFetching, job: job}
	w.tasks = append(w.tasks, t)
	w.wake()
	if job == nil {
		w.exit(t, wire.ExitReasonUnknownJob)
		return
	}
	size := w.size()
	cpus, memory := size.CPUs-job.spec.CPUs, size.MemoryGB-job.spec.MemoryGB
	for _, o := range w.tasks {
		if o == t || o.state == wire.TaskExited {
			continue
		}
		if o.id == id {
			w.exit(t, wire.ExitReasonBusy)
			return
		}
		cpus, memory = cpus-o.job.spec.CPUs, memory-o.job.spec.MemoryGB
	}
	if min(cpus, memory) < -1e-6 {
		w.exit(t, wire.ExitReasonNoCapacity)
		return
	}
	fetch := 10 * time.Millisecond
	if !w.images[job.spec.Image] {
		fetch = time.Duration(job.spec.ImageGB / size.FetchGBps * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.state != wire.TaskFetching || w.ended {
			return
		}
		w.images[job.spec.Image] = true
		t.state, t.begun = wire.TaskRunning, time.Now()
		w.d.taskStarted(w, t)
		w.wake()
		if job.spec.Kind == wire.KindService {
			return
		}
		run := job.run
		if w.d.isDone(t.id) {
			run = 0
		}
		t.timer = time.AfterFunc(run, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if t.state != wire.TaskRunning || w.ended {
				return
			}
			w.d.taskDone(w, t)
			w.exit(t, wire.ExitReasonDone)
		})
	})
}

// size returns the type of the machine.
func (w *worker) size() wire.MachineType {
	return w.d.site.machines[slices.IndexFunc(w.d.site.machines, func(t wire.MachineType) bool { return t.Name == w.typ })]
}
