package scheduler

import "math"

// Resources are amounts of CPU cores, GPUs and memory.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// epsilon absorbs rounding errors in comparisons of resource amounts.
const epsilon = 1e-6

// Add returns r + n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
}

// Fits returns how many times d fits into r.
func (r Resources) Fits(d Resources) int {
	n := math.Inf(1)
	for _, p := range [...][2]float64{{r.CPUs, d.CPUs}, {r.GPUs, d.GPUs}, {r.MemoryGB, d.MemoryGB}} {
		if p[1] > 0 {
			n = math.Min(n, math.Floor((p[0]+epsilon)/p[1]))
		}
	}
	return int(math.Max(0, math.Min(n, 1<<20)))
}

// TasksWithin returns how many of a number of tasks fit into room, if each has the given size. The ratio of room to size
// may exceed the range of an int, so it is compared before it is converted.
func TasksWithin(room, size float64, tasks int) int {
	if !(room > 0) {
		return 0
	}
	if fitting := room / size; fitting < float64(tasks) {
		return int(fitting)
	}
	return tasks
}

// Measure converts resources of different kinds into one size, in cores, by the dominant
// resource. Its value is the number of cores that count as much as one GPU; it is 0 where
// there are no GPUs, and then only cores count.
type Measure float64

// Of returns the size of r in cores.
func (m Measure) Of(r Resources) float64 { return math.Max(r.CPUs, r.GPUs*float64(m)) }
