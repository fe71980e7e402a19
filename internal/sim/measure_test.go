package sim

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"pumicefront/internal/spreadseries"
)

// TestMeasureZoneRecovery prints the table of docs/zone-recovery.md. It runs only on demand:
// PUMICEFRONT_ZONE_MEASURE=400,4000 go test -v -timeout 30m ./internal/sim -run TestMeasureZoneRecovery
func TestMeasureZoneRecovery(t *testing.T) {
	runMeasurements(t, "PUMICEFRONT_ZONE_MEASURE", "PUMICEFRONT_ZONE_SEEDS", []string{"false", "true"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		m := measureZone(machines, seed, mode == "true")
		return m, m.violations
	})
}

// TestMeasureCells prints the figures of docs/cells.md. It runs only on demand:
// PUMICEFRONT_CELL_MEASURE=40,200 go test -v -timeout 30m ./internal/sim -run TestMeasureCells
func TestMeasureCells(t *testing.T) {
	runMeasurements(t, "PUMICEFRONT_CELL_MEASURE", "PUMICEFRONT_CELL_RUNS", []string{"off", "on", "holder lost"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		m := measureCells(machines, seed, mode)
		return m, m.violations
	})
}

// TestMeasureSpread prints the figures of docs/load-spreading.md. If PUMICEFRONT_SPREAD_SERIES names a
// directory, it also writes the shares of all machines over time there, to spread.parquet and spread.png.
// It runs only on demand:
// PUMICEFRONT_SPREAD_MEASURE=20,400,4000 go test -v -timeout 30m ./internal/sim -run TestMeasureSpread
func TestMeasureSpread(t *testing.T) {
	var rows []spreadseries.Row
	runMeasurements(t, "PUMICEFRONT_SPREAD_MEASURE", "PUMICEFRONT_SPREAD_SEEDS", []string{"off", "on"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		r := newSpreadRun(defaultSpreadOptions(machines, seed, mode == "on"))
		r.run()
		rows = append(rows, r.shareSeries(fmt.Sprintf("%d machines, seed %d, %s", machines, seed, mode))...)
		return r, r.w.Violations
	})
	if dir := os.Getenv("PUMICEFRONT_SPREAD_SERIES"); dir != "" {
		writeSeries(t, dir, rows)
	}
}

// writeSeries writes the rows to a file, reads them back, and logs a table and writes a plot of them.
func writeSeries(t *testing.T, dir string, rows []spreadseries.Row) {
	t.Helper()
	path := filepath.Join(dir, "spread.parquet")
	if err := spreadseries.Write(path, rows); err != nil {
		t.Fatal(err)
	}
	read, err := spreadseries.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	series := spreadseries.SeriesByRun(read)
	var table strings.Builder
	if err := spreadseries.WriteTable(&table, series, spreadRestartAt.Seconds(), spreadRestartAt.Seconds()+180, spreadDrainEnd.Seconds(), spreadDrainEnd.Seconds()+180); err != nil {
		t.Error(err)
	}
	t.Logf("%d rows\n%s", len(read), table.String())
	if err := spreadseries.Plot(filepath.Join(dir, "spread.png"), "Load spreading: switched on at 110 s, drain at 420 s", series); err != nil {
		t.Error(err)
	}
}

// runMeasurements runs a measurement for each number of machines that one environment variable lists, for
// the number of seeds that another one sets, in each mode.
func runMeasurements(t *testing.T, sizesVariable, seedsVariable string, modes []string, run func(machines int, seed uint64, mode string) (result fmt.Stringer, violations []string)) {
	sizes := os.Getenv(sizesVariable)
	if sizes == "" {
		t.Skip("runs only on demand, see the doc comments of the measurements")
	}
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(runCount(seedsVariable, 3)) {
			for _, mode := range modes {
				t.Run(fmt.Sprintf("%d/%d/%s", machines, seed, mode), func(t *testing.T) {
					result, violations := run(machines, seed, mode)
					t.Log(result)
					for _, v := range violations {
						t.Error(v)
					}
				})
			}
		}
	}
}
