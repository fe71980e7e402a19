package scheduler

import "math"

// Resources are amounts of CPU cores, GPUs, memory and task slots. Each task takes one slot, and a machine has a limited
// number of them, however little its tasks take otherwise.
type Resources struct{ CPUs, GPUs, MemoryGB, Slots float64 }

// epsilon absorbs rounding errors in comparisons of resource amounts.
const epsilon = 1e-6

// maxFits is the largest number that Fits returns.
const maxFits = 1 << 20

// Add returns r + n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB, r.Slots + n*o.Slots}
}

// Fits returns how many times d fits into r, at most maxFits.
func (r Resources) Fits(d Resources) int {
	times := min(timesFitting(r.CPUs, d.CPUs), timesFitting(r.GPUs, d.GPUs), timesFitting(r.MemoryGB, d.MemoryGB), timesFitting(r.Slots, d.Slots))
	return int(min(times, maxFits))
}

// timesFitting returns how many times need fits into free, not rounded: infinity if nothing is needed, and never NaN. An
// amount of free that may be a rounding error is no room, however little is needed.
func timesFitting(free, need float64) float64 {
	if need == 0 {
		return math.Inf(1)
	}
	if !(free > epsilon) {
		return 0
	}
	if times := (free + epsilon) / need; times > 0 {
		return times
	}
	return 0
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

// Measure converts resources of different kinds into one size, in cores, by the dominant resource.
type Measure struct {
	CoresPerGPU float64 // cores that count as much as one GPU; 0: there are no GPUs
	CoresPerGB  float64 // cores that count as much as one GB of the memory of a task
}

// Of returns the size of a machine or of free resources, by cores and GPUs.
func (m Measure) Of(r Resources) float64 { return math.Max(r.CPUs, r.GPUs*m.CoresPerGPU) }

// OfTask returns the size of what a task takes. Memory counts too: a task that takes a machine's memory and hardly any
// cores leaves no room for others.
func (m Measure) OfTask(r Resources) float64 { return math.Max(m.Of(r), r.MemoryGB*m.CoresPerGB) }
