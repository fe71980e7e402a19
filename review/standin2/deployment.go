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
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pumicefront/wire"
)

// settings are the parts of the platform's settings that the stand-ins need too.
type settings struct {
	ReportS, LeaseS, CancelS float64
	ListLagS                 float64
	Zones                    []string
	Teams                    []team
}

type team struct {
	name      string
	cpus, max float64
}

// node is one controller.
type node struct {
	name, addr, mesh string
	cellAddr         string // of the listener for other cells
	settingsPath     string
	operatorsPath    string // operators' file in place of that of the deploy file; empty: none
	cmd              *exec.Cmd
	done             chan struct{}
}

// deployment is a small deployment: controllers as processes, and stand-ins for all else.
type deployment struct {
	repository string
	dir        string
	record     *os.File
	recordMu   sync.Mutex
	began      time.Time
	settings   settings
	store      *store
	cloud      *cloud
	nodes      []*node
	client     *http.Client
	closeOnce  sync.Once

	cuts cuts

	cell string // name of the cell; empty: cells are off
	peer *deployment

	mu   sync.Mutex
	jobs map[string]*job
}

func newDeployment(repository, record string) (*deployment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{repository: repository, dir: dir, record: f, began: time.Now(), jobs: map[string]*job{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	// The settings are those of the first site, see kit/sites/dialectika-gent.toml, with two zones.
	d.settings = settings{ReportS: 2.5, LeaseS: 16, CancelS: 36, ListLagS: 1, Zones: []string{"zone-a", "zone-b"},
		Teams: []team{{"annotatie", 256, 608}, {"opname", 176, 608}}}
	d.store, d.cloud = newStore(), newCloud(d)
	return d, nil
}

// note adds a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// loopbackHost returns a loopback address that no other run uses at the same time.
func loopbackHost(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, 1+pid%250, last)
}

// serve starts a server on a free loopback port and returns its address.
func (d *deployment) serve(h http.Handler) string {
	ln, err := net.Listen("tcp", loopbackHost(1)+":0")
	if err != nil {
		d.note("can't listen: %v", err)
		return ""
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }() // it ends with the process
	return ln.Addr().String()
}

// startControllers starts controllers with the command of the deploy file.
func (d *deployment) startControllers(count int) error {
	if err := d.addNodes(count); err != nil {
		return err
	}
	return d.startNodes()
}

// addNodes chooses the addresses of controllers.
func (d *deployment) addNodes(count int) error {
	var free []net.Listener
	for i := range count {
		n := &node{name: fmt.Sprintf("kraal-%d", i)}
		for _, addr := range []*string{&n.addr, &n.mesh, &n.cellAddr} {
			ln, err := net.Listen("tcp", loopbackHost(2)+":0") // another host than that of the stand-ins, so that they don't take the port
			if err != nil {
				return err
			}
			free = append(free, ln)
			*addr = ln.Addr().String()
		}
		d.nodes = append(d.nodes, n)
	}
	for _, ln := range free {
		if err := ln.Close(); err != nil {
			return err
		}
	}
	return nil
}

// startNodes writes the settings of the controllers and starts them.
func (d *deployment) startNodes() error {
	cloud := d.serve(d.cloud)
	for _, n := range d.nodes {
		state := d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.cuts.mu.Lock()
			lost := d.cuts.state == n.name
			d.cuts.mu.Unlock()
			if lost {
				<-r.Context().Done()
				return
			}
			d.store.ServeHTTP(w, r)
		}))
		if d.cell != "" {
			n.operatorsPath = filepath.Join(d.dir, n.name+".hcl")
			if err := os.WriteFile(n.operatorsPath, []byte(d.operatorsText(n)), 0o600); err != nil {
				return err
			}
		}
		n.settingsPath = filepath.Join(d.dir, n.name+".toml")
		if err := os.WriteFile(n.settingsPath, []byte(d.settingsText(n, state, cloud)), 0o600); err != nil {
			return err
		}
		if err := d.start(n); err != nil {
			return err
		}
	}
	return nil
}

// operatorsText is the operators' file of a controller of a cell, as in deploy/cell.hcl.
func (d *deployment) operatorsText(n *node) string {
	var peers []string
	for _, o := range d.peer.nodes {
		peers = append(peers, fmt.Sprintf("%q", o.cellAddr))
	}
	return fmt.Sprintf(`leader_life   = "1.4s"
silent_share  = 0.25
idle_s        = 15
headroom      = 0.1
headroom_most = 1.5
surge         = 2
surge_batch   = 1
cell {
  name         = %q
  listen       = %q
  spill_after  = "5s"
  return_after = "30s"
  lend_cores   = 200
  peer %q {
    addresses = [%s]
  }
}
`, d.cell, n.cellAddr, d.peer.cell, strings.Join(peers, ", "))
}

func (d *deployment) settingsText(n *node, state, cloud string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "member = %q\narea = %q\nclient_listen = %q\nmesh_addr = %q\n", n.name, d.settings.Zones[0], n.addr, n.mesh)
	for _, o := range d.nodes {
		if o != n {
			fmt.Fprintf(&b, "[[others]]\nmember = %q\narea = %q\nendpoint = %q\n", o.name, d.settings.Zones[0], o.mesh)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
	fmt.Fprintf(&b, "[facts]\nnodes = %d\nzones = [\"%s\"]\nskew_ms = 1000.0\n", len(d.nodes), strings.Join(d.settings.Zones, `", "`))
	for _, t := range d.settings.Teams {
		fmt.Fprintf(&b, "[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.max)
	}
	fmt.Fprintf(&b, "[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.93\n")
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n", d.settings.ReportS, d.settings.LeaseS, d.settings.CancelS)
	fmt.Fprintf(&b, "[facts.state]\nrps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 16\n[facts.cloud]\nrps = 2.0\nlist_lag_s = %.1f\n", d.settings.ListLagS)
	fmt.Fprintf(&b, "[facts.resources]\ncore_share = 0.18\nmemory_mb = 125.0\nmax_connections = 1500\n")
	return b.String()
}

// runCommand returns the command of the deploy file that runs a controller.
func (d *deployment) runCommand() ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	raw, err := os.ReadFile(filepath.Join(d.repository, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		return nil, err
	}
	if deploy.Run == "" {
		return nil, errors.New("no run command in the deploy file")
	}
	return strings.Fields(deploy.Run), nil
}

// start starts a controller.
func (d *deployment) start(n *node) error {
	command, err := d.runCommand()
	if err != nil {
		return err
	}
	for i, arg := range command {
		if arg == "--operators" && n.operatorsPath != "" {
			command[i+1] = n.operatorsPath
		}
	}
	n.cmd = exec.Command(command[0], append(command[1:], n.settingsPath)...)
	n.cmd.Dir = d.repository
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.cmd.Stderr = &lineWriter{d: d, name: n.name}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	d.note("%s: started", n.name)
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		d.note("%s: ended: %v", n.name, err)
		close(done)
	}(n.cmd, n.done)
	return nil
}

// kill ends a controller without a signal that it could handle.
func (d *deployment) kill(n *node) {
	if n.cmd != nil && n.cmd.Process != nil && n.done != nil {
		_ = n.cmd.Process.Kill() // it may have ended by itself
		<-n.done
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.closeOnce.Do(func() {
		for _, n := range d.nodes {
			d.kill(n)
		}
		_ = os.RemoveAll(d.dir)
		_ = d.record.Sync()
	})
}

// exitOnSignal ends all processes when this one is told to end.
func (d *deployment) exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitCouldNot)
	}()
}

// lineWriter adds the log of a controller to the record.
type lineWriter struct {
	d    *deployment
	name string
	rest []byte
}

func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		line, rest, found := bytes.Cut(w.rest, []byte("\n"))
		if !found {
			return len(p), nil
		}
		w.d.note("    log of %s: %s", w.name, line)
		w.rest = append([]byte(nil), rest...)
	}
}

// post sends a request and returns the status, 0 if there was no response, and the body.
func (d *deployment) post(addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	return d.request(http.MethodPost, addr, path, body, timeout)
}

func (d *deployment) request(method, addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := d.client.Do(req)
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

// job returns an uploaded job, or nil.
func (d *deployment) job(id string) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id]
}

// allJobs returns all jobs that were submitted.
func (d *deployment) allJobs() []*job {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []*job
	for _, j := range d.jobs {
		all = append(all, j)
	}
	return all
}

// workers returns the workers of all machines.
func (d *deployment) workers() []*worker {
	d.cloud.mu.Lock()
	defer d.cloud.mu.Unlock()
	var all []*worker
	for _, m := range d.cloud.machines {
		all = append(all, m.worker)
	}
	return all
}

// waitFor waits until a condition holds.
func (d *deployment) waitFor(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			d.note("reached: %s", what)
			return nil
		}
	}
	return fmt.Errorf("not reached in %v: %s", limit, what)
}

// waitReady waits until a controller takes requests.
func (d *deployment) waitReady() error {
	return d.waitFor("all controllers are ready", 20*time.Second, func() bool {
		for _, n := range d.nodes {
			if status, _ := d.request(http.MethodGet, n.addr, wire.PathReady, nil, time.Second); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
