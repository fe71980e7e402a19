package spreadseries

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Rows are read back as they were written, and a table and a plot can be rendered from them.
func TestRowsAreReadBackAsWritten(t *testing.T) {
	var rows []Row
	for _, run := range []struct {
		name   string
		spread bool
		shares [2]float64
	}{{"off 0", false, [2]float64{1, 0}}, {"on 0", true, [2]float64{0.6, 0.4}}} {
		for at := range 300 {
			for i, share := range run.shares {
				rows = append(rows, Row{run.name, run.spread, float64(at), fmt.Sprint("m", i), share})
			}
		}
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "series.parquet")
	if err := Write(path, rows); err != nil {
		t.Fatal(err)
	}
	read, err := Read(path)
	if err != nil || !reflect.DeepEqual(read, rows) {
		t.Fatalf("read rows differ from written ones: %d read, %d written, error %v", len(read), len(rows), err)
	}
	series := SeriesByRun(read)
	if len(series) != 2 || len(series[1].Samples) != 300 || series[1].Samples[7].Machines != 2 || !series[1].Spread {
		t.Fatalf("%d series, want 2; sample 7 of the second: %+v", len(series), series[1].Samples[7])
	}
	var table bytes.Buffer
	// The columns are times before the first sample, between two samples, and of the last sample.
	if err := WriteTable(&table, series, -1, 10.5, 299); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"| off 0 | false | - | 1.00, 2.00 | 1.00, 2.00 |", "| on 0 | true | - | 0.20, 1.20 | 0.20, 1.20 |"} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("no line %q in the table:\n%s", line, table.String())
		}
	}
	plotPath := filepath.Join(dir, "plot.png")
	if err := Plot(plotPath, "a test", series); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(plotPath); err != nil || !bytes.HasPrefix(raw, []byte("\x89PNG")) {
		t.Errorf("plot is no PNG file: %v", err)
	}
	if _, err := Read(plotPath); err == nil {
		t.Error("reading a PNG file as a series gave no error")
	}
}
