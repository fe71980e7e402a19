// Package spreadseries keeps what a measurement of load spreading finds, machine by machine over time, in
// Parquet files, and makes tables and plots of what it reads back from them.
package spreadseries

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"os"
	"slices"

	"github.com/parquet-go/parquet-go"
)

// Row is the share of a machine at a moment of a run.
type Row struct {
	Run     string  `parquet:"run,dict"`     // which run it is of
	Spread  bool    `parquet:"spread"`       // load was spread
	AtS     float64 `parquet:"at_s"`         // seconds since the run began
	Machine string  `parquet:"machine,dict"` // the machine's name
	Share   float64 `parquet:"share"`        // dominant share, 0 to 1
}

// Write writes rows to a file, compressed.
func Write(path string, rows []Row) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write series: %w", err)
	}
	defer func() {
		if closed := file.Close(); err == nil && closed != nil {
			err = fmt.Errorf("write series: %w", closed)
		}
	}()
	writer := parquet.NewGenericWriter[Row](file, parquet.Compression(&parquet.Zstd))
	if _, err := writer.Write(rows); err != nil {
		return fmt.Errorf("write series: %w", err)
	}
	if err := writer.Close(); err != nil {
		return fmt.Errorf("write series: %w", err)
	}
	return nil
}

// Read reads the rows of a file.
func Read(path string) ([]Row, error) {
	rows, err := parquet.ReadFile[Row](path)
	if err != nil {
		return nil, fmt.Errorf("read series: %w", err)
	}
	return rows, nil
}

// Moment sums up the machines at a moment of a run.
type Moment struct {
	AtS       float64 // seconds since the run began
	Machines  int     // machines with a row at this moment
	Variation float64 // coefficient of variation of the shares
	Maximum   float64 // the largest share over the mean
}

// Course is a run over time.
type Course struct {
	Run     string   // which run it is
	Spread  bool     // load was spread
	Moments []Moment // one for each moment, in the order of time
}

// Courses sums up rows by run, in the order of their names, and by moment.
func Courses(rows []Row) []Course {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.AtS, b.AtS)) })
	var courses []Course
	for len(sorted) > 0 {
		first := sorted[0]
		n := slices.IndexFunc(sorted, func(r Row) bool { return r.Run != first.Run || r.AtS != first.AtS })
		if n < 0 {
			n = len(sorted)
		}
		if last := len(courses) - 1; last < 0 || courses[last].Run != first.Run {
			courses = append(courses, Course{Run: first.Run, Spread: first.Spread})
		}
		course := &courses[len(courses)-1]
		course.Moments = append(course.Moments, sumUp(sorted[:n]))
		sorted = sorted[n:]
	}
	return courses
}

// sumUp sums up the machines at one moment.
func sumUp(rows []Row) Moment {
	m := Moment{AtS: rows[0].AtS, Machines: len(rows)}
	sum, squares, most := 0.0, 0.0, 0.0
	for _, r := range rows {
		sum += r.Share
		squares += r.Share * r.Share
		most = math.Max(most, r.Share)
	}
	if sum == 0 {
		return m
	}
	mean := sum / float64(len(rows))
	m.Variation = math.Sqrt(math.Max(0, squares/float64(len(rows))-mean*mean)) / mean
	m.Maximum = most / mean
	return m
}

// WriteTable writes the courses as a table of the given moments, in Markdown.
func WriteTable(out io.Writer, courses []Course, atS ...float64) error {
	header, rule := "| run | spread |", "| --- | --- |"
	for _, at := range atS {
		header += fmt.Sprintf(" %.0f s |", at)
		rule += " --- |"
	}
	text := header + "\n" + rule + "\n"
	for _, c := range courses {
		text += fmt.Sprintf("| %s | %v |", c.Run, c.Spread)
		for _, at := range atS {
			text += cell(c, at)
		}
		text += "\n"
	}
	if _, err := io.WriteString(out, text); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// cell is a course's variation and maximum at a moment, or the last one before it.
func cell(c Course, atS float64) string {
	i := slices.IndexFunc(c.Moments, func(m Moment) bool { return m.AtS > atS })
	if i < 0 {
		i = len(c.Moments)
	}
	if i == 0 {
		return " - |"
	}
	m := c.Moments[i-1]
	return fmt.Sprintf(" %.2f, %.2f |", m.Variation, m.Maximum)
}
