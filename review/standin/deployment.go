//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pumicefront/wire"
)

// site holds the settings of a deployment that a case uses.
type site struct {
	name                     string
	zones                    []string
	teams                    string // facts.teams and facts.objectives, as in the platform's settings
	reportS, leaseS, cancelS float64
	state                    stateLimits
	cloudRPS, listLagS       float64
	memoryMB                 float64
	connections              int
	machines                 []wire.MachineType
	capacity                 map[string]int // machines that the cloud has at most, by type
	boot                     time.Duration
}

// gentFleet has the settings of dialectika-gent-fleet, as `fleetbench wire` prints them.
var gentFleet = site{
	name: "dialectika-gent-fleet", zones: []string{"gent-kelder"},
	teams: `[[facts.teams]]
name = "annotatie"
cpus = 12000.0
cpus_max = 30000.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "opname"
cpus = 8000.0
cpus_max = 30000.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "herbeluister"
within_s = 80.0
share = 0.88
[[facts.objectives]]
kind = "wait"
class = "klankarchief"
within_s = 5.0
share = 0.9
[[facts.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.93
`,
	reportS: 5, leaseS: 26.5, cancelS: 46.5,
	state:    stateLimits{RPS: 350, WriteRPS: 150, ValueKB: 16, TxnOps: 16},
	cloudRPS: 3.5, listLagS: 12, memoryMB: 271, connections: 3424,
	machines: []wire.MachineType{{Name: "veldbak", CPUs: 16, MemoryGB: 64, CacheGB: 30, FetchGBps: 0.25, Price: 1.17, SpotPrice: 0.36, BootS: 15, Zones: []string{"gent-kelder"}}},
	capacity: map[string]int{"veldbak": 8},
	boot:     time.Second,
}

// karoo has the settings of karoo-sms-joburg, as `fleetbench wire` prints them, with machines in one zone.
var karoo = site{
	name: "karoo-sms-joburg", zones: []string{"joburg-een"},
	teams: `[[facts.teams]]
name = "kliniekdiens"
cpus = 64.0
cpus_max = 160.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "winkelnet"
cpus = 56.0
cpus_max = 176.0
gpus = 0.0
gpus_max = 0.0
[[facts.objectives]]
kind = "finished"
class = "bulkstuur"
within_s = 90.0
share = 0.85
[[facts.objectives]]
kind = "wait"
class = "poortwag"
within_s = 25.0
share = 0.9
[[facts.objectives]]
kind = "guarantee"
within_s = 15.0
share = 0.88
`,
	reportS: 3, leaseS: 30, cancelS: 60,
	state:    stateLimits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 32},
	cloudRPS: 4, listLagS: 5, memoryMB: 125, connections: 1500,
	machines: []wire.MachineType{
		{Name: "kleinkas", CPUs: 4, MemoryGB: 32, CacheGB: 70, FetchGBps: 0.2, Price: 0.36, SpotPrice: 0.13, BootS: 35, Zones: []string{"joburg-een"}},
		{Name: "grootkas", CPUs: 32, MemoryGB: 256, CacheGB: 30, FetchGBps: 0.4, Price: 2.67, SpotPrice: 0.92, BootS: 30, Zones: []string{"joburg-een"}},
	},
	capacity: map[string]int{"kleinkas": 24, "grootkas": 8},
	boot:     2 * time.Second,
}

// node is one controller process with the stand-ins' view of it.
type node struct {
	d                     *deployment
	name                  string
	clientAddr, meshAddr  string
	cellAddr              string // for other cells
	stateAddr             string
	settingsPath, logPath string
	operatorsPath         string // the operators' file, if it is not the one of the deploy file

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	healthy bool // as the load balancer sees it
}

// deployment is a small deployment: three controllers as processes, and the stand-ins.
type deployment struct {
	site  site
	root  string // of the repository
	dir   string // temporary folder
	nodes []*node
	state *stateService
	cloud *cloud
	start time.Time

	mu       sync.Mutex
	others   []*deployment // other cells, whose jobs may run here
	onStart  func(*worker, *workerTask)
	record   *os.File
	jobs     map[string]*userJob
	done     map[string]bool              // tasks that have completed
	on       map[string]map[string]string // task -> machine -> attempt
	starts   map[string]int               // by task
	running  map[*workerTask]bool         // on machines now
	breaches []string
	nextUID  int
	lbNext   int
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "case could not run: "+format+"\n", args...)
	for _, d := range deployments {
		d.log("case could not run: "+format, args...)
		d.stopAll()
	}
	os.Exit(2)
}

// deployments are those of this process, so that their processes are ended on every way out.
var deployments []*deployment

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newDeployment starts the stand-ins and the controllers of a site.
func newDeployment(s site, count int) *deployment {
	d := prepareDeployment(s, "kraal", count)
	d.startProcesses()
	return d
}

// prepareDeployment starts the stand-ins of a site and writes the settings of its controllers.
func prepareDeployment(s site, name string, count int) *deployment {
	root, err := os.Getwd()
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{site: s, root: root, start: time.Now(), jobs: map[string]*userJob{}, done: map[string]bool{},
		on: map[string]map[string]string{}, starts: map[string]int{}, running: map[*workerTask]bool{}, nextUID: 1}
	if d.dir, err = os.MkdirTemp("", "pumicefront-review-"); err != nil {
		fatal("%v", err)
	}
	if len(deployments) > 0 { // a further cell
		d.record, d.start = deployments[0].record, deployments[0].start
	} else if d.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fatal("%v", err)
	}
	deployments = append(deployments, d)
	d.state = newStateService(s.state)
	d.cloud = &cloud{d: d, types: s.machines, capacity: s.capacity, boot: s.boot, lag: time.Duration(s.listLagS * float64(time.Second)), rented: map[string][]string{}}
	cloudAddr := d.cloud.listen()
	ports := freePorts(3 * count)
	for i := range count {
		n := &node{d: d, name: fmt.Sprintf("%s-%d", name, i), clientAddr: ports[3*i], meshAddr: ports[3*i+1], cellAddr: ports[3*i+2]}
		n.stateAddr = d.state.listen(n.name)
		n.settingsPath, n.logPath = filepath.Join(d.dir, n.name+".toml"), filepath.Join(d.dir, n.name+".log")
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		var b strings.Builder
		fmt.Fprintf(&b, "member = %q\narea = %q\nclient_listen = %q\nmesh_addr = %q\n", n.name, s.zones[0], n.clientAddr, n.meshAddr)
		for _, o := range d.nodes {
			if o != n {
				fmt.Fprintf(&b, "[[others]]\nmember = %q\narea = %q\nendpoint = %q\n", o.name, s.zones[0], o.meshAddr)
			}
		}
		fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n[facts]\nnodes = %d\nzones = [%q]\nskew_ms = 1000.0\n%s", cloudAddr, n.stateAddr, count, s.zones[0], s.teams)
		fmt.Fprintf(&b, "[facts.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %f\n", s.reportS, s.leaseS, s.cancelS)
		fmt.Fprintf(&b, "[facts.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d\n", s.state.RPS, s.state.WriteRPS, s.state.ValueKB, s.state.TxnOps)
		fmt.Fprintf(&b, "[facts.cloud]\nrps = %f\nlist_lag_s = %f\n[facts.resources]\ncore_share = 1.0\nmemory_mb = %f\nmax_connections = %d\n", s.cloudRPS, s.listLagS, s.memoryMB, s.connections)
		if err := os.WriteFile(n.settingsPath, []byte(b.String()), 0o600); err != nil {
			fatal("%v", err)
		}
	}
	return d
}

func (d *deployment) startProcesses() {
	for _, n := range d.nodes {
		n.startProcess()
	}
	go d.balance()
}

// freePorts returns free addresses on a loopback host of this process's own: on the host on which the stand-ins
// listen, one of them might take the port of a controller while that is down.
func freePorts(count int) []string {
	host := fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, os.Getpid()%250)
	var addrs []string
	for len(addrs) < count {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			fatal("%v", err)
		}
		defer ln.Close()
		if addr := ln.Addr().String(); !portsInUse[addr] {
			portsInUse[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// portsInUse are the addresses that freePorts has returned.
var portsInUse = map[string]bool{}

// log writes a line to the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logLocked(format, args...)
}

func (d *deployment) logLocked(format string, args ...any) {
	if d.record != nil {
		fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
	}
}

// breach records that the rule was broken.
func (d *deployment) breach(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	d.breaches = append(d.breaches, text)
	d.logLocked("RULE BROKEN: %s", text)
}

// startProcess starts the controller with the command of the deploy file.
func (n *node) startProcess() {
	raw, err := os.ReadFile(filepath.Join(n.d.root, "deploy/service.toml"))
	if err != nil {
		fatal("%v", err)
	}
	m := runLine.FindSubmatch(raw)
	if m == nil {
		fatal("no run line in deploy/service.toml")
	}
	args := append(strings.Fields(string(m[1])), n.settingsPath)
	if n.operatorsPath != "" {
		args[slices.Index(args, "deploy/pumicefront.hcl")] = n.operatorsPath
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = n.d.root
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		fatal("start controller: %v", err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.d.log("process of %s started, pid %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		out.Close()
		n.d.log("process of %s ended: %v", n.name, err)
		close(exited)
	}()
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (d *deployment) stopAll() {
	for _, n := range d.nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", d.dir)
	}
}

// finish ends the case with its result.
func (d *deployment) finish() {
	d.mu.Lock()
	breaches := d.breaches
	d.mu.Unlock()
	d.log("result: rule broken %d times", len(breaches))
	for _, o := range deployments {
		o.stopAll()
	}
	for i, b := range breaches {
		if i < 5 {
			fmt.Println("rule broken:", b)
		}
	}
	if len(breaches) > 0 {
		fmt.Println("rule broken", len(breaches), "times")
		os.Exit(1)
	}
	fmt.Println("the rule held")
	os.Exit(0)
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// balance probes the controllers once a second and keeps their health as the load balancer of the
// protocol's page does.
func (d *deployment) balance() {
	for _, n := range d.nodes {
		go func() {
			var last []bool // the last six probes
			ever, removals := false, 0
			var removed time.Time
			for range time.Tick(time.Second) {
				resp, err := probeClient.Get("http://" + n.clientAddr + wire.PathReady)
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				last = append(last, ok)
				if len(last) > 6 {
					last = last[1:]
				}
				failures, k := 0, len(last)
				for _, o := range last {
					if !o {
						failures++
					}
				}
				n.mu.Lock()
				pause := 3 * time.Second << min(max(removals-1, 0), 4)
				switch {
				case n.healthy && (failures >= 3 || k >= 2 && !last[k-1] && !last[k-2]):
					n.healthy, removed, removals = false, time.Now(), removals+1
					d.log("load balancer: %s unhealthy", n.name)
				case !n.healthy && ok && (!ever || k >= 2 && last[k-2] && time.Since(removed) > min(pause, 60*time.Second)):
					n.healthy, ever, last = true, true, nil
					d.log("load balancer: %s healthy", n.name)
				}
				n.mu.Unlock()
			}
		}()
	}
}

func (n *node) isHealthy() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.healthy }

// choose returns a healthy node for a new connection of a user, or nil.
func (d *deployment) choose() *node {
	d.mu.Lock()
	d.lbNext++
	next := d.lbNext
	d.mu.Unlock()
	for i := range d.nodes {
		if n := d.nodes[(next+i)%len(d.nodes)]; n.isHealthy() {
			return n
		}
	}
	return nil
}

// awaitHealthy waits until all controllers are healthy.
func (d *deployment) awaitHealthy(within time.Duration) {
	for until := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range d.nodes {
			all = all && n.isHealthy()
		}
		if all {
			return
		}
		if time.Now().After(until) {
			fatal("not all controllers are ready within %v", within)
		}
	}
}

// leader returns the controller that the record of the leader names.
func (d *deployment) leader() *node {
	d.state.mu.Lock()
	it, ok := d.state.items["c/leader"]
	d.state.mu.Unlock()
	var rec struct {
		Member string `cbor:"m"`
	}
	if ok && wire.Unmarshal(it.Value, &rec) == nil {
		for _, n := range d.nodes {
			if n.name == rec.Member {
				return n
			}
		}
	}
	return nil
}

// userJob is a job with its user, who asks one thing at a time.
type userJob struct {
	spec wire.Job
	run  time.Duration

	mu       sync.Mutex
	accepted bool
	told     string // the final state that its user was told
	toldAt   time.Time
	toldBy   string
}

// job returns a job by its id, also one of another cell's users.
func (d *deployment) job(uid string) *userJob {
	d.mu.Lock()
	j := d.jobs[uid]
	d.mu.Unlock()
	for i := 0; j == nil && i < len(d.others); i++ {
		o := d.others[i]
		o.mu.Lock()
		j = o.jobs[uid]
		o.mu.Unlock()
	}
	return j
}

func (d *deployment) newJob(spec wire.Job, run time.Duration) *userJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	spec.ID = fmt.Sprintf("req-%06d", d.nextUID)
	d.nextUID++
	j := &userJob{spec: spec, run: run}
	d.jobs[spec.ID] = j
	return j
}

var errNoAnswer = errors.New("no answer")

// call makes one request of a user over a connection of its own.
func (d *deployment) call(n *node, method, path string, body []byte, timeout time.Duration) (int, wire.JobState, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.clientAddr+path, bytes.NewReader(body))
	if err != nil {
		return 0, wire.JobState{}, nil, err
	}
	resp, err := userClient.Do(req)
	if err != nil {
		return 0, wire.JobState{}, nil, errNoAnswer
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, wire.JobState{}, nil, errNoAnswer
	}
	var st wire.JobState
	_ = wire.Unmarshal(raw, &st)
	return resp.StatusCode, st, resp.Header, nil
}

var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit submits a job until it is answered with 201, 200, 400 or 422, for 60 s at most.
func (d *deployment) submit(j *userJob) bool {
	body := wire.Marshal(j.spec)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		n := d.choose()
		if n == nil {
			continue
		}
		status, st, _, err := d.call(n, http.MethodPost, wire.PathJobs, body, 5*time.Second)
		if err != nil {
			continue
		}
		if status == http.StatusCreated || status == http.StatusOK {
			j.mu.Lock()
			j.accepted = true
			j.mu.Unlock()
			d.log("submit %s at %s: %d %s", j.spec.ID, n.name, status, st.State)
			return true
		}
		if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
			d.log("submit %s at %s: %d", j.spec.ID, n.name, status)
			return false
		}
	}
	return false
}

// poll asks one node for a job's state, and checks the answer against what the user was told before.
func (d *deployment) poll(j *userJob, n *node) string {
	asked := time.Now()
	status, st, _, err := d.call(n, http.MethodGet, wire.PathJobs+"/"+j.spec.ID, nil, 2*time.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.told != "" && asked.Before(j.toldAt) {
		return "" // asked before the user was told
	}
	switch {
	case err != nil:
		return ""
	case status == http.StatusNotFound && j.accepted:
		d.breach("forgotten: %s gets 404 from %s", j.spec.ID, n.name)
		return ""
	case status != http.StatusOK:
		return ""
	}
	if j.told != "" && st.State != j.told {
		d.breach("went_back: %s was told to be %q by %s at %.3f, now %s says %q (done %d, running %d)", j.spec.ID, j.told, j.toldBy, j.toldAt.Sub(d.start).Seconds(), n.name, st.State, st.Done, st.Running)
		return st.State
	}
	if j.told == "" && (st.State == wire.StateDone || st.State == wire.StateCancelled) {
		j.told, j.toldAt, j.toldBy = st.State, time.Now(), n.name
		d.log("poll %s at %s: %s", j.spec.ID, n.name, st.State)
		if st.State == wire.StateDone {
			for i := range j.spec.Tasks {
				if !d.isDone(wire.TaskID(j.spec.ID, i)) {
					d.breach("not_done: %s is called done, but task %d has not completed", j.spec.ID, i)
				}
			}
		}
	}
	return st.State
}

func (j *userJob) final() string { j.mu.Lock(); defer j.mu.Unlock(); return j.told }

// finalAt returns the final state that a job's user was told, and when.
func (j *userJob) finalAt() (string, time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.told, j.toldAt
}

// allJobs lists all jobs.
func (d *deployment) allJobs() []*userJob {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*userJob
	for _, j := range d.jobs {
		all = append(all, j)
	}
	return all
}

// follow polls a job until its user is told a final state.
func (d *deployment) follow(j *userJob, every time.Duration) {
	for j.final() == "" {
		time.Sleep(every)
		if n := d.choose(); n != nil {
			d.poll(j, n)
		}
	}
}

func (d *deployment) isDone(task string) bool { d.mu.Lock(); defer d.mu.Unlock(); return d.done[task] }

func (d *deployment) taskStarted(w *worker, t *workerTask) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logLocked("task %s attempt %d starts on %s", t.id, t.attempt, w.id)
	for m, a := range d.on[t.id] {
		text := fmt.Sprintf("ran_twice: %s attempt %d starts on %s while attempt %s is on %s", t.id, t.attempt, w.id, a, m)
		d.breaches = append(d.breaches, text)
		d.logLocked("RULE BROKEN: %s", text)
	}
	if d.on[t.id] == nil {
		d.on[t.id] = map[string]string{}
	}
	d.on[t.id][w.id] = fmt.Sprint(t.attempt)
	d.starts[t.id]++
	d.running[t] = true
	if d.onStart != nil {
		go d.onStart(w, t)
	}
}

// coresInUse sums the cores of a team's tasks on machines here.
func (d *deployment) coresInUse(team string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	cores := 0.0
	for t := range d.running {
		if t.job.spec.Team == team {
			cores += t.job.spec.CPUs
		}
	}
	return cores
}

func (d *deployment) taskLeft(w *worker, t *workerTask, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.on[t.id], w.id)
	delete(d.running, t)
	if why != wire.ExitReasonDone {
		d.logLocked("task %s attempt %d leaves %s: %s", t.id, t.attempt, w.id, why)
	}
}

func (d *deployment) taskDone(w *worker, t *workerTask) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.done[t.id] = true
	d.logLocked("task %s attempt %d done on %s", t.id, t.attempt, w.id)
}

// hasStarted reports whether an attempt of a task has started on a machine.
func (d *deployment) hasStarted(task string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts[task] > 0
}

// cancel cancels a job until it is answered with a final state.
func (d *deployment) cancel(j *userJob) {
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		n := d.choose()
		if n == nil {
			continue
		}
		status, st, _, err := d.call(n, http.MethodPost, wire.PathJobs+"/"+j.spec.ID+wire.PathCancel, nil, 5*time.Second)
		if err == nil && status == http.StatusOK {
			d.log("cancel %s at %s: %s", j.spec.ID, n.name, st.State)
			return
		}
	}
}
