// Package spreadseries stores the results of load spreading measurements, as time series of each machine's
// share, in Parquet files, and renders tables and plots from them.
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

// Row is the dominant share of one machine at one time in a run.
type Row struct {
	Run     string  `parquet:"run,dict"`     // name of the run
	Spread  bool    `parquet:"spread"`       // whether load spreading was on
	AtS     float64 `parquet:"at_s"`         // seconds since the start of the run
	Machine string  `parquet:"machine,dict"` // the machine's name
	Share   float64 `parquet:"share"`        // dominant share, 0 to 1
}

// Write writes rows to a file, compressed with Zstandard.
func Write(path string, rows []Row) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write series: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("write series: %w", closeErr)
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

// Read reads all rows of a file.
func Read(path string) ([]Row, error) {
	rows, err := parquet.ReadFile[Row](path)
	if err != nil {
		return nil, fmt.Errorf("read series: %w", err)
	}
	return rows, nil
}

// Sample summarizes the shares of all machines at one time in a run.
type Sample struct {
	AtS       float64 // seconds since the start of the run
	Machines  int     // machines with a row at this time
	Variation float64 // coefficient of variation of the shares
	Maximum   float64 // the largest share divided by the mean
}

// Series is one run over time.
type Series struct {
	Run     string   // name of the run
	Spread  bool     // whether load spreading was on
	Samples []Sample // one for each time in the rows, in ascending order
}

// SeriesByRun groups rows by run, in the order of the runs' names, and summarizes each time in a run.
func SeriesByRun(rows []Row) []Series {
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.AtS, b.AtS)) })
	var all []Series
	for len(sorted) > 0 {
		first := sorted[0]
		n := slices.IndexFunc(sorted, func(r Row) bool { return r.Run != first.Run || r.AtS != first.AtS })
		if n < 0 {
			n = len(sorted)
		}
		if last := len(all) - 1; last < 0 || all[last].Run != first.Run {
			all = append(all, Series{Run: first.Run, Spread: first.Spread})
		}
		series := &all[len(all)-1]
		series.Samples = append(series.Samples, summarize(sorted[:n]))
		sorted = sorted[n:]
	}
	return all
}

// summarize returns the sample of rows with the same run and time.
func summarize(rows []Row) Sample {
	sample := Sample{AtS: rows[0].AtS, Machines: len(rows)}
	sum, squares, largest := 0.0, 0.0, 0.0
	for _, r := range rows {
		sum += r.Share
		squares += r.Share * r.Share
		largest = math.Max(largest, r.Share)
	}
	if sum == 0 {
		return sample
	}
	mean := sum / float64(len(rows))
	sample.Variation = math.Sqrt(math.Max(0, squares/float64(len(rows))-mean*mean)) / mean
	sample.Maximum = largest / mean
	return sample
}

// WriteTable writes a table in Markdown, with a row for each run and a column for each of the given times.
func WriteTable(out io.Writer, all []Series, atS ...float64) error {
	header, rule := "| run | spread |", "| --- | --- |"
	for _, at := range atS {
		header += fmt.Sprintf(" %.0f s |", at)
		rule += " --- |"
	}
	text := header + "\n" + rule + "\n"
	for _, series := range all {
		text += fmt.Sprintf("| %s | %v |", series.Run, series.Spread)
		for _, at := range atS {
			text += tableCell(series, at)
		}
		text += "\n"
	}
	if _, err := io.WriteString(out, text); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// tableCell returns the variation and the maximum at the given time or, without a sample at that time, of
// the last sample before it.
func tableCell(series Series, atS float64) string {
	i := slices.IndexFunc(series.Samples, func(m Sample) bool { return m.AtS > atS })
	if i < 0 {
		i = len(series.Samples)
	}
	if i == 0 {
		return " - |"
	}
	sample := series.Samples[i-1]
	return fmt.Sprintf(" %.2f, %.2f |", sample.Variation, sample.Maximum)
}
