package sim

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pumicefront/internal/history"
	"pumicefront/wire"
	"pumicefront/zones"
	"pumicefront/zoneview"
)

// liveController is a process of the program.
type liveController struct {
	t        *testing.T
	binary   string
	settings string // file
	hcl      string // file
	status   string // address
	trace    string // file
	node     *node
	process  *exec.Cmd
	links    []*meshLink // to and from the other controllers
}

// start starts the process; every process is killed at the test's end at the latest.
func (c *liveController) start(ctx context.Context) {
	c.process = exec.CommandContext(ctx, c.binary, "serve", "--operators", c.hcl, "--config", c.settings)
	if log, err := os.OpenFile(c.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		c.process.Stderr = log
	}
	c.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := c.process.Start(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *liveController) kill() {
	if c.process != nil && c.process.Process != nil {
		_ = c.process.Process.Kill()
		_ = c.process.Wait()
	}
}

// meshLink carries what one controller sends to another one, and holds it back while it is cut.
type meshLink struct {
	cut    atomic.Bool
	target string
}

// meshListen returns the address that stands for the target behind the link.
func (l *meshLink) listen(t *testing.T, ctx context.Context) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(ctx, from)
		}
	}()
	return ln.Addr().String()
}

func (l *meshLink) carry(ctx context.Context, from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	defer context.AfterFunc(ctx, func() { _ = from.Close() })()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for l.cut.Load() && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const liveOperators = `
leader_life  = "2s"
silent_share = 0.4
zone_recovery {
  lost_after     = "1500ms"
  hold_down      = "1s"
  status_listen  = %q
  trace          = %q
}
`

// buildProgram builds the program, and returns its path.
func buildProgram(t *testing.T, ctx context.Context) string {
	binary := filepath.Join(t.TempDir(), "pumicefront")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "pumicefront/cmd/pumicefront").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// startControllers starts controllers against the stand-ins of a world; operators tells the
// operators' settings of each.
func startControllers(t *testing.T, ctx context.Context, w *World, binary string, count int, operators func(c *liveController, i int) string) []*liveController {
	dir := t.TempDir()
	var cs []*liveController
	var serves, meshes []string
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		c := &liveController{t: t, binary: binary, settings: filepath.Join(dir, name+".toml"), hcl: filepath.Join(dir, name+".hcl"),
			status: freeAddress(t), trace: filepath.Join(dir, name+".trace")}
		if err := os.WriteFile(c.hcl, []byte(operators(c, i)), 0o600); err != nil {
			t.Fatal(err)
		}
		cs, serves, meshes = append(cs, c), append(serves, freeAddress(t)), append(meshes, freeAddress(t))
	}
	for i, c := range cs {
		state, cloud := w.AddController(fmt.Sprintf("n%d", i), serves[i])
		c.node = w.nodes[i]
		var text bytes.Buffer
		fmt.Fprintf(&text, "member = \"n%d\"\nclient_listen = %q\nmesh_addr = %q\n[external]\nstate = %q\ncloud = %q\n", i, serves[i], meshes[i], state, cloud)
		for j := range cs {
			if j != i {
				link := &meshLink{target: meshes[j]}
				c.links, cs[j].links = append(c.links, link), append(cs[j].links, link)
				fmt.Fprintf(&text, "[[others]]\nmember = \"n%d\"\nendpoint = %q\n", j, link.listen(t, ctx))
			}
		}
		writeFacts(&text, w)
		if err := os.WriteFile(c.settings, text.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
		c.start(ctx)
		t.Cleanup(c.kill)
	}
	return cs
}

// writeFacts spells the deployment as the platform does.
func writeFacts(out io.Writer, w *World) {
	f := w.cfg.Facts
	for _, team := range f.Teams {
		fmt.Fprintf(out, "[[facts.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\n", team.Name, team.CPUs, team.CPUsMax)
	}
	for _, o := range f.Objectives {
		fmt.Fprintf(out, "[[facts.objectives]]\nkind = %q\nclass = %q\nwithin_s = %f\nshare = %f\n", o.Kind, o.Class, o.WithinS, o.Share)
	}
	fmt.Fprintf(out, "[facts.workers]\nreport_s = %f\nlease_s = %f\ncancel_s = %f\n", f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS)
	fmt.Fprintf(out, "[facts.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d\n", f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps)
	fmt.Fprintf(out, "[facts.cloud]\nrps = %f\nlist_lag_s = %f\n", f.Cloud.RPS, f.Cloud.ListLagS)
	fmt.Fprintf(out, "[facts.resources]\nmemory_mb = %f\nmax_connections = %d\n", f.Resources.MemoryMB, f.Resources.MaxConnections)
}

// TestLiveZones plays three zones with three controllers as real processes over TCP: the zone of the
// leader is cut off with the leader in it, comes back, fails once more, and the next leader is
// killed meanwhile. At every moment every task has one owner and every job one final answer.
func TestLiveZones(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	w := NewLive(ctx, 1, Zoned)
	w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
	w.cfg.Facts.Cloud.ListLagS = 1
	w.faults.fastBoots = true
	cs := startControllers(t, ctx, w, buildProgram(t, ctx), 3, func(c *liveController, _ int) string {
		return fmt.Sprintf(liveOperators, c.status, c.trace)
	})
	addresses := []string{cs[0].status, cs[1].status, cs[2].status}
	play := func(d time.Duration) {
		if err := w.RunLive(d); err != nil {
			t.Fatal(err)
		}
	}
	leads := func() (*liveController, zones.Status) {
		status, err := zoneview.Fetch(ctx, addresses)
		if err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
		return cs[status.Member[1]-'0'], status
	}
	w.after(2*time.Second, func() { liveJobs(w, 24*time.Second) })
	play(11 * time.Second)

	first, _ := leads()
	zone := w.shape.zones()[first.node.i]
	w.isolate(zone, first.node, 11*time.Second)
	first.cut(true)
	play(9 * time.Second)
	second, status := leads()
	if second == first || stateOf(status, zone) != zones.Lost {
		t.Errorf("9 s after the loss of zone %s with its leader %s: %+v", zone, first.node.name, status)
	}
	play(2 * time.Second)
	first.cut(false)
	play(4 * time.Second)

	w.darken(zone, 11*time.Second)
	play(2 * time.Second)
	second.kill()
	play(2 * time.Second)
	second.start(ctx)
	play(18 * time.Second)

	_, status = leads()
	checkLive(t, w, status, zone)
	spans := ""
	for _, c := range cs {
		raw, _ := os.ReadFile(c.trace) // one that never led wrote nothing
		spans += string(raw)
	}
	if !strings.Contains(spans, `"zone suspected"`) || !strings.Contains(spans, `"zone lost"`) {
		t.Errorf("the loss is not traced: %s", spans)
	}
}

// cut cuts a controller off from the others, or joins it again.
func (c *liveController) cut(on bool) {
	for _, link := range c.links {
		link.cut.Store(on)
	}
}

func stateOf(s zones.Status, zone string) zones.State {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.State
		}
	}
	return zones.Healthy
}

// liveJobs submits services that spread over the zones, and short arrays of which some are cancelled.
func liveJobs(w *World, duration time.Duration) {
	enter := func(id int, spec wire.Job, run time.Duration) *simJob {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB = fmt.Sprintf("req-%06d", id), 1, fmt.Sprintf("img-%d", id%3), 1
		j := &simJob{spec: spec, run: run, done: make([]bool, spec.Tasks)}
		w.users.enterQuietly(j)
		return j
	}
	for i := range 3 {
		enter(i, wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 6, CPUs: 3, Spread: true, Types: []string{"small"}}, 0)
	}
	until, id := w.now+duration, 10
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		j := enter(id, wire.Job{Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 1 + id%9, CPUs: 1}, w.between(time.Second, 4*time.Second))
		if id%5 == 0 {
			w.after(w.between(0, 3*time.Second), func() { w.users.cancel(j) })
		}
		id++
		w.after(500*time.Millisecond, next)
	}
	next()
}

// checkLive checks the rules, the history, and that the faults have come about.
func checkLive(t *testing.T, w *World, status zones.Status, zone string) {
	t.Helper()
	if len(w.Rules) == 0 {
		w.checkEnds()
	}
	for _, r := range w.Rules {
		t.Error(r)
	}
	for _, v := range history.Check(w.history) {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
	counts := map[history.Kind]int{}
	for _, e := range w.history {
		counts[e.Kind]++
	}
	if counts[history.Started] < 150 || counts[history.Answered] < 100 || w.coverage["a zone with a controller cut off"] == 0 {
		t.Errorf("too little has happened: %v, %v", counts, w.coverage)
	}
	for _, z := range status.Zones {
		if z.Name == zone && z.Penalty < 1.5 { // seen by the second and the third leader
			t.Errorf("the losses of zone %s are forgotten: %+v", zone, z)
		}
	}
	t.Logf("%d starts, %d answers; at the end %+v", counts[history.Started], counts[history.Answered], status.Zones)
}
