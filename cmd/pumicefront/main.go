// Command pumicefront runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"pumicefront/cellview"
	"pumicefront/config"
	"pumicefront/server"
	"pumicefront/spreadview"
	"pumicefront/statusclient"
	"pumicefront/statusview"
	"pumicefront/zoneview"
)

const version = "0.1.0"

// settings holds the flags for the two settings files.
type settings struct {
	Operators string `help:"Operator settings file (HCL)." type:"path"`
	Config    string `help:"Platform settings file (TOML)." required:"" type:"path"`
}

func (s *settings) load() (*config.Platform, config.Operator, error) {
	op, err := config.LoadOperator(s.Operators)
	if err != nil {
		return nil, op, err
	}
	cfg, err := config.LoadPlatform(s.Config)
	return cfg, op, err
}

type serveCmd struct{ settings }

// Run runs a controller until the process is killed.
func (c *serveCmd) Run() error {
	cfg, op, err := c.load()
	if err != nil {
		return err
	}
	for _, warning := range cfg.Warnings {
		slog.Error("setting not used", "warning", warning)
	}
	configureRuntime(cfg)
	return server.New(cfg, op).Run(context.Background())
}

type checkCmd struct{ settings }

// Run prints the effective settings, and warnings about unusable ones. An invalid setting gives an error that
// names its field; main prints it and exits with status 2.
func (c *checkCmd) Run() error {
	cfg, op, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("platform: %+v\noperators: %+v\n", *cfg, op)
	for _, warning := range cfg.Warnings {
		fmt.Println("warning:", warning)
	}
	return nil
}

// viewFlags holds the flags of commands that show a status.
type viewFlags struct {
	Address  []string      `help:"Status endpoint of a controller (status_listen in its settings); may be repeated." required:""`
	Interval time.Duration `help:"Refresh interval in a terminal." default:"1s"`
	Once     bool          `help:"Print the status once as plain text, even in a terminal."`
}

// show displays a status in a terminal until the user quits, or prints it once if stdout is not a terminal
// or --once is given.
func show[S statusclient.Status](view statusview.View[S], f viewFlags) error {
	if f.Once || !isatty.IsTerminal(os.Stdout.Fd()) {
		return view.Print(context.Background(), os.Stdout, f.Address)
	}
	return view.Watch(context.Background(), f.Address, max(f.Interval, minInterval))
}

type zonesCmd struct{ viewFlags }

// Run shows the state of the zones.
func (c *zonesCmd) Run() error { return show(zoneview.View, c.viewFlags) }

type spreadCmd struct{ viewFlags }

// Run shows the state of load spreading.
func (c *spreadCmd) Run() error { return show(spreadview.View, c.viewFlags) }

// minInterval is the minimum refresh interval; it bounds the load that a view puts on the core.
const minInterval = 200 * time.Millisecond

type cellsCmd struct {
	Show        cellsShowCmd        `cmd:"" default:"withargs" help:"Show the links to other cells, and the jobs sent and received by team."`
	DeclareGone cellsDeclareGoneCmd `cmd:"" help:"Declare that a cell is permanently gone and has ended all jobs that it was granted. See docs/operations.md for what must be verified first."`
}

type cellsShowCmd struct {
	Address []string `help:"Cell listener of a controller (cell.listen in its settings); may be repeated." required:""`
}

// Run prints the links to other cells once.
func (c *cellsShowCmd) Run() error {
	return cellview.View.Print(context.Background(), os.Stdout, c.Address)
}

type cellsDeclareGoneCmd struct {
	Address []string `help:"Cell listener of a controller of the home cell; may be repeated." required:""`
	Cell    string   `help:"Name of the cell that is gone." required:""`
	By      string   `help:"Name of the operator who confirms this; it is recorded." required:""`
}

// Run declares a cell permanently gone.
func (c *cellsDeclareGoneCmd) Run() error {
	return cellview.DeclareGone(context.Background(), c.Address, c.Cell, c.By)
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("pumicefront", version)
	return nil
}

// configureRuntime adapts the Go runtime to the machine. One thread runs Go code at a time. The heap is small
// compared to the memory limit, so that infrequent garbage collection saves CPU time.
func configureRuntime(cfg *config.Platform) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.Facts.Resources.MemoryMB * 0.6 * (1 << 20)))
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	var cli struct {
		Serve         serveCmd   `cmd:"" help:"Run a controller."`
		CheckSettings checkCmd   `cmd:"" help:"Check both settings files and print the effective settings."`
		Zones         zonesCmd   `cmd:"" help:"Show the state of the zones (zone recovery must be enabled)."`
		Cells         cellsCmd   `cmd:"" help:"Show the links to other cells, or declare a cell gone (spillover must be enabled)."`
		Spread        spreadCmd  `cmd:"" help:"Show machines by load, hot machines and moves in progress (load spreading must be enabled)."`
		Version       versionCmd `cmd:"" help:"Print the version."`
	}
	ctx := kong.Parse(&cli, kong.Name("pumicefront"), kong.Description("A scheduler for a cluster of rented machines."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pumicefront:", err)
		os.Exit(2)
	}
}
