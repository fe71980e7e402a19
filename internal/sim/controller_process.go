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

// Controllers as processes of the pumicefront program, and the network links between them.

// controllerProcess is a controller that runs as a process of the program.
type controllerProcess struct {
	binary               string
	settingsPath         string // platform settings, TOML
	operatorSettingsPath string // operators' settings, HCL
	statusAddr           string // address of the status endpoint
	tracePath            string // file for traces, if the operators' settings name it
	controller           *member
	cmd                  *exec.Cmd
	links                []*meshLink // to and from the other controllers
}

// start starts the process, or starts it again after kill. It is killed when ctx ends.
func (c *controllerProcess) start(ctx context.Context) error {
	c.cmd = exec.CommandContext(ctx, c.binary, "serve", "--operators", c.operatorSettingsPath, "--config", c.settingsPath)
	if log, err := os.OpenFile(c.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		c.cmd.Stderr = log
	}
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if err := c.cmd.Start(); err != nil {
		return fmt.Errorf("start controller: %w", err)
	}
	return nil
}

func (c *controllerProcess) kill() {
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// meshLink forwards what one controller sends to another one, and holds it back while the link is cut.
type meshLink struct {
	cut    atomic.Bool
	target string
}

// listen returns the address at which the sender reaches the target through the link.
func (l *meshLink) listen(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for link between controllers: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(ctx, from)
		}
	}()
	return ln.Addr().String(), nil
}

func (l *meshLink) forward(ctx context.Context, from net.Conn) {
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
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// loopbackHostsUsed counts the loopback addresses for which freeAddresses has been called.
var loopbackHostsUsed atomic.Uint32

// freeAddresses returns the given number of unused addresses. Each call uses a loopback host of its own, which
// differs from the one on which the simulated services listen: on the same host a simulated service could be
// given a port that freeAddresses has just found free, and would then receive requests meant for a controller.
func freeAddresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.1.%d.1", loopbackHostsUsed.Add(1)%250)
	var addresses []string
	for range count {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, fmt.Errorf("find free address: %w", err)
		}
		defer ln.Close() // only once all ports are taken, so that they differ
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// buildProgram builds the program into a directory and returns its path.
func buildProgram(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "pumicefront")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "pumicefront/cmd/pumicefront").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build pumicefront: %w\n%s", err, out)
	}
	return binary, nil
}

// startControllers starts controllers that use the simulated services of a world, with their files in a directory.
// operatorSettings returns the operators' settings (HCL) of each controller.
func startControllers(ctx context.Context, w *World, binary, dir string, count int, operatorSettings func(c *controllerProcess, i int) string) ([]*controllerProcess, error) {
	addresses, err := freeAddresses(3 * count)
	if err != nil {
		return nil, err
	}
	clientAddrs, meshAddrs, statusAddrs := addresses[:count], addresses[count:2*count], addresses[2*count:]
	var controllers []*controllerProcess
	for i := range count {
		basePath := filepath.Join(dir, fmt.Sprintf("n%d", i))
		c := &controllerProcess{binary: binary, settingsPath: basePath + ".toml", operatorSettingsPath: basePath + ".hcl", statusAddr: statusAddrs[i], tracePath: basePath + ".trace"}
		if err := os.WriteFile(c.operatorSettingsPath, []byte(operatorSettings(c, i)), 0o600); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		controllers = append(controllers, c)
	}
	for i, c := range controllers {
		if err := c.writeSettings(ctx, w, controllers, i, clientAddrs[i], meshAddrs); err != nil {
			return nil, err
		}
		if err := c.start(ctx); err != nil {
			return nil, err
		}
	}
	return controllers, nil
}

// writeSettings adds a controller to the world and writes its platform settings, with a link to each of
// the other controllers.
func (c *controllerProcess) writeSettings(ctx context.Context, w *World, controllers []*controllerProcess, i int, clientAddr string, meshAddrs []string) error {
	state, cloud := w.AddController(fmt.Sprintf("n%d", i), clientAddr)
	c.controller = w.controllers[i]
	var text bytes.Buffer
	fmt.Fprintf(&text, "member = \"n%d\"\nclient_listen = %q\nmesh_addr = %q\n[external]\nstate = %q\ncloud = %q\n", i, clientAddr, meshAddrs[i], state, cloud)
	for j, other := range controllers {
		if j == i {
			continue
		}
		link := &meshLink{target: meshAddrs[j]}
		address, err := link.listen(ctx)
		if err != nil {
			return err
		}
		c.links, other.links = append(c.links, link), append(other.links, link)
		fmt.Fprintf(&text, "[[others]]\nmember = \"n%d\"\nendpoint = %q\n", j, address)
	}
	writeFacts(&text, w)
	if err := os.WriteFile(c.settingsPath, text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// writeFacts writes the facts of the deployment as they stand in the platform's settings (TOML).
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

// setPartitioned cuts the controller's links to and from the other controllers, or restores them.
func (c *controllerProcess) setPartitioned(on bool) {
	for _, link := range c.links {
		link.cut.Store(on)
	}
}
