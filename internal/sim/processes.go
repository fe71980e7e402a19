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
	"sync/atomic"
	"time"
)

// Controllers as processes of the program, and the links between them.

// liveController is a process of the program.
type liveController struct {
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
func (c *liveController) start(ctx context.Context) error {
	c.process = exec.CommandContext(ctx, c.binary, "serve", "--operators", c.hcl, "--config", c.settings)
	if log, err := os.OpenFile(c.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		c.process.Stderr = log
	}
	c.process.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := c.process.Start(); err != nil {
		return fmt.Errorf("start controller: %w", err)
	}
	return nil
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

// listen returns the address that stands for the target behind the link.
func (l *meshLink) listen(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("link between controllers: %w", err)
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
	return ln.Addr().String(), nil
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

// hostsUsed counts the loopback hosts that addresses were taken from.
var hostsUsed atomic.Uint32

// freeAddresses returns so many addresses that nobody listens on, of a loopback host of their own: the
// stand-ins, which listen on another one, can't be given a port that was free a moment ago, and then
// answer a controller's users in its place.
func freeAddresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.1.%d.1", hostsUsed.Add(1)%250)
	var all []string
	for range count {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		defer ln.Close() // after all are taken, so that they differ
		all = append(all, ln.Addr().String())
	}
	return all, nil
}

// buildProgram builds the program into a directory, and returns its path.
func buildProgram(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "pumicefront")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "pumicefront/cmd/pumicefront").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return binary, nil
}

// startControllers starts controllers against the stand-ins of a world, with their files in a
// directory; operators tells the operators' settings of each.
func startControllers(ctx context.Context, w *World, binary, dir string, count int, operators func(c *liveController, i int) string) ([]*liveController, error) {
	addresses, err := freeAddresses(3 * count)
	if err != nil {
		return nil, err
	}
	serves, meshes, statuses := addresses[:count], addresses[count:2*count], addresses[2*count:]
	var cs []*liveController
	for i := range count {
		name := filepath.Join(dir, fmt.Sprintf("n%d", i))
		c := &liveController{binary: binary, settings: name + ".toml", hcl: name + ".hcl", status: statuses[i], trace: name + ".trace"}
		if err := os.WriteFile(c.hcl, []byte(operators(c, i)), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		cs = append(cs, c)
	}
	for i, c := range cs {
		if err := c.configure(ctx, w, cs, i, serves[i], meshes); err != nil {
			return nil, err
		}
		if err := c.start(ctx); err != nil {
			return nil, err
		}
	}
	return cs, nil
}

// configure writes the platform's settings of a controller, with links to the others.
func (c *liveController) configure(ctx context.Context, w *World, all []*liveController, i int, serve string, meshes []string) error {
	state, cloud := w.AddController(fmt.Sprintf("n%d", i), serve)
	c.node = w.nodes[i]
	var text bytes.Buffer
	fmt.Fprintf(&text, "member = \"n%d\"\nclient_listen = %q\nmesh_addr = %q\n[external]\nstate = %q\ncloud = %q\n", i, serve, meshes[i], state, cloud)
	for j, o := range all {
		if j == i {
			continue
		}
		link := &meshLink{target: meshes[j]}
		address, err := link.listen(ctx)
		if err != nil {
			return err
		}
		c.links, o.links = append(c.links, link), append(o.links, link)
		fmt.Fprintf(&text, "[[others]]\nmember = \"n%d\"\nendpoint = %q\n", j, address)
	}
	writeFacts(&text, w)
	if err := os.WriteFile(c.settings, text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
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

// cut cuts a controller off from the others, or joins it again.
func (c *liveController) cut(on bool) {
	for _, link := range c.links {
		link.cut.Store(on)
	}
}
