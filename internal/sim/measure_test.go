package sim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestMeasureZoneRecovery prints the table of docs/zone-recovery.md; it is run by hand:
// PUMICEFRONT_ZONE_MEASURE=400,4000 go test -v -timeout 30m ./internal/sim -run TestMeasureZoneRecovery
func TestMeasureZoneRecovery(t *testing.T) {
	sizes := os.Getenv("PUMICEFRONT_ZONE_MEASURE")
	if sizes == "" {
		t.Skip("run by hand, see the comment")
	}
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(runsOf("PUMICEFRONT_ZONE_SEEDS", 3)) {
			for _, on := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%d/%v", machines, seed, on), func(t *testing.T) {
					m := measureZone(machines, seed, on)
					t.Log(m)
					for _, r := range m.rules {
						t.Error(r)
					}
				})
			}
		}
	}
}

// TestMeasureCells prints the figures of docs/cells.md; it is run by hand:
// PUMICEFRONT_CELL_MEASURE=40,200 go test -v -timeout 30m ./internal/sim -run TestMeasureCells
func TestMeasureCells(t *testing.T) {
	sizes := os.Getenv("PUMICEFRONT_CELL_MEASURE")
	if sizes == "" {
		t.Skip("run by hand, see the comment")
	}
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 3)) {
			for _, mode := range []string{"off", "on", "holder lost"} {
				t.Run(fmt.Sprintf("%d/%d/%s", machines, seed, mode), func(t *testing.T) {
					m := measureCells(machines, seed, mode)
					t.Log(m)
					for _, r := range m.rules {
						t.Error(r)
					}
				})
			}
		}
	}
}
