package scheduler

import "math"

// Resources are amounts of a machine.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

const epsilon = 1e-6

// Add returns r + n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
}

// Fits counts how often demand d fits into r.
func (r Resources) Fits(d Resources) int {
	n := math.Inf(1)
	for _, p := range [...][2]float64{{r.CPUs, d.CPUs}, {r.GPUs, d.GPUs}, {r.MemoryGB, d.MemoryGB}} {
		if p[1] > 0 {
			n = math.Min(n, math.Floor((p[0]+epsilon)/p[1]))
		}
	}
	return int(math.Max(0, math.Min(n, 1<<20)))
}

// Measure tells the size of what differs in kind: the dominant share, in cores. It is
// how many cores come with one GPU; 0 where there are no GPUs, and cores alone count.
type Measure float64

// Of returns the size of r.
func (m Measure) Of(r Resources) float64 { return math.Max(r.CPUs, r.GPUs*float64(m)) }
