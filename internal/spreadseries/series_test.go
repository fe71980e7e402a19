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

// Rows are read back as they were written, and the table and the plot are made of them.
func TestSeriesIsReadBack(t *testing.T) {
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
		t.Fatalf("%d rows are read, %d were written: %v", len(read), len(rows), err)
	}
	courses := Courses(read)
	if len(courses) != 2 || len(courses[1].Moments) != 300 || courses[1].Moments[7].Machines != 2 || !courses[1].Spread {
		t.Fatalf("%d courses: %+v", len(courses), courses[1].Moments[7])
	}
	var table bytes.Buffer
	if err := WriteTable(&table, courses, -1, 10.5, 299); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"| off 0 | false | - | 1.00, 2.00 | 1.00, 2.00 |", "| on 0 | true | - | 0.20, 1.20 | 0.20, 1.20 |"} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("no %q in\n%s", line, table.String())
		}
	}
	picture := filepath.Join(dir, "plot.png")
	if err := Plot(picture, "a test", courses); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(picture); err != nil || !bytes.HasPrefix(raw, []byte("\x89PNG")) {
		t.Errorf("no picture: %v", err)
	}
	if _, err := Read(picture); err == nil {
		t.Error("a picture is read as a series")
	}
}
