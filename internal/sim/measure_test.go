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

// TestMeasureZoneRecovery prints the table of docs/zone-recovery.md; it is run by hand:
// PUMICEFRONT_ZONE_MEASURE=400,4000 go test -v -timeout 30m ./internal/sim -run TestMeasureZoneRecovery
func TestMeasureZoneRecovery(t *testing.T) {
	measure(t, "PUMICEFRONT_ZONE_MEASURE", "PUMICEFRONT_ZONE_SEEDS", []string{"false", "true"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		m := measureZone(machines, seed, mode == "true")
		return m, m.rules
	})
}

// TestMeasureCells prints the figures of docs/cells.md; it is run by hand:
// PUMICEFRONT_CELL_MEASURE=40,200 go test -v -timeout 30m ./internal/sim -run TestMeasureCells
func TestMeasureCells(t *testing.T) {
	measure(t, "PUMICEFRONT_CELL_MEASURE", "PUMICEFRONT_CELL_RUNS", []string{"off", "on", "holder lost"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		m := measureCells(machines, seed, mode)
		return m, m.rules
	})
}

// TestMeasureSpread prints the figures of docs/load-spreading.md, and with PUMICEFRONT_SPREAD_SERIES
// writes the shares of all machines over time to spread.parquet and spread.png there; it is run by hand:
// PUMICEFRONT_SPREAD_MEASURE=20,400,4000 go test -v -timeout 30m ./internal/sim -run TestMeasureSpread
func TestMeasureSpread(t *testing.T) {
	var rows []spreadseries.Row
	measure(t, "PUMICEFRONT_SPREAD_MEASURE", "PUMICEFRONT_SPREAD_SEEDS", []string{"off", "on"}, func(machines int, seed uint64, mode string) (fmt.Stringer, []string) {
		r := newSpreadRun(defaultSpread(machines, seed, mode == "on"))
		r.play()
		rows = append(rows, r.series(fmt.Sprintf("%d machines, seed %d, %s", machines, seed, mode))...)
		return r, r.w.Rules
	})
	if dir := os.Getenv("PUMICEFRONT_SPREAD_SERIES"); dir != "" {
		writeSeries(t, dir, rows)
	}
}

// writeSeries writes a series, and the table and the plot of what is read back from it.
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
	courses := spreadseries.Courses(read)
	var table strings.Builder
	if err := spreadseries.WriteTable(&table, courses, spreadSwitchAt.Seconds(), spreadSwitchAt.Seconds()+180, spreadBackAt.Seconds(), spreadBackAt.Seconds()+180); err != nil {
		t.Error(err)
	}
	t.Logf("%d rows\n%s", len(read), table.String())
	if err := spreadseries.Plot(filepath.Join(dir, "spread.png"), "Load spreading: switched on at 110 s, drain at 420 s", courses); err != nil {
		t.Error(err)
	}
}

// measure plays the sizes that a variable lists, with as many seeds as another one says, in each mode.
func measure(t *testing.T, sizesVariable, seedsVariable string, modes []string, play func(machines int, seed uint64, mode string) (result fmt.Stringer, rules []string)) {
	sizes := os.Getenv(sizesVariable)
	if sizes == "" {
		t.Skip("run by hand, see the comment")
	}
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(runsOf(seedsVariable, 3)) {
			for _, mode := range modes {
				t.Run(fmt.Sprintf("%d/%d/%s", machines, seed, mode), func(t *testing.T) {
					result, rules := play(machines, seed, mode)
					t.Log(result)
					for _, r := range rules {
						t.Error(r)
					}
				})
			}
		}
	}
}
