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

// settings are the two files that every command but version reads.
type settings struct {
	Operators string `help:"Operators' own settings (HCL)." type:"path"`
	Config    string `help:"Settings that the platform hands over (TOML)." required:"" type:"path"`
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

// Run serves until the process is killed.
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

// Run prints what was understood of the settings, and the warnings of those that can't be used.
// The error of a wrong setting names its field; main prints it and exits with 2.
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

// viewFlags are those of commands that show a status.
type viewFlags struct {
	Address  []string      `help:"Status endpoint of a controller (status_listen in its settings); may be given several times." required:""`
	Interval time.Duration `help:"How often to ask again, in a terminal." default:"1s"`
	Once     bool          `help:"Print plain lines once, in a terminal too."`
}

// show shows a status until its user ends it, or once where there is no terminal.
func show[S statusclient.Status](view statusview.View[S], f viewFlags) error {
	if f.Once || !isatty.IsTerminal(os.Stdout.Fd()) {
		return view.Print(context.Background(), os.Stdout, f.Address)
	}
	return view.Watch(context.Background(), f.Address, max(f.Interval, minInterval))
}

type zonesCmd struct{ viewFlags }

// Run shows the zones.
func (c *zonesCmd) Run() error { return show(zoneview.View, c.viewFlags) }

type spreadCmd struct{ viewFlags }

// Run shows how load is spread.
func (c *spreadCmd) Run() error { return show(spreadview.View, c.viewFlags) }

// minInterval keeps a view from asking the core all the time.
const minInterval = 200 * time.Millisecond

type cellsCmd struct {
	Show        cellsShowCmd        `cmd:"" default:"withargs" help:"Show the links to other cells, and jobs out and in by team."`
	DeclareGone cellsDeclareGoneCmd `cmd:"" help:"Vouch for a cell's having ended all that it was granted. docs/operations.md says what you must be sure of."`
}

type cellsShowCmd struct {
	Address []string `help:"Listener for cells of a controller (cell.listen in its settings); may be given several times." required:""`
}

// Run shows the links once.
func (c *cellsShowCmd) Run() error {
	return cellview.View.Print(context.Background(), os.Stdout, c.Address)
}

type cellsDeclareGoneCmd struct {
	Address []string `help:"Listener for cells of a controller of the home." required:""`
	Cell    string   `help:"The cell that is gone." required:""`
	By      string   `help:"Who vouches for it; this is recorded." required:""`
}

// Run declares the cell gone.
func (c *cellsDeclareGoneCmd) Run() error {
	return cellview.DeclareGone(context.Background(), c.Address, c.Cell, c.By)
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("pumicefront", version)
	return nil
}

// configureRuntime fits the runtime to the machine: one thread runs at a time, the heap is
// small against the memory limit, and collecting seldom saves processor time.
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
		CheckSettings checkCmd   `cmd:"" help:"Check both settings files and print what was understood."`
		Zones         zonesCmd   `cmd:"" help:"Show the state of the zones (zone recovery must be on)."`
		Cells         cellsCmd   `cmd:"" help:"Links to other cells (spilling over must be on)."`
		Spread        spreadCmd  `cmd:"" help:"Show machines by load, hot ones and moves under way (load spreading must be on)."`
		Version       versionCmd `cmd:"" help:"Print the version."`
	}
	ctx := kong.Parse(&cli, kong.Name("pumicefront"), kong.Description("A scheduler for a cluster of rented machines."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pumicefront:", err)
		os.Exit(2)
	}
}
