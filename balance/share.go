package balance

import (
	"math"

	"pumicefront/scheduler"
)

// Share returns a machine's dominant share: the largest ratio of used to total over its resources. It is 0
// for a machine without resources.
func Share(used, capacity scheduler.Resources) float64 {
	share := 0.0
	for _, r := range [...]struct{ used, capacity float64 }{
		{used.CPUs, capacity.CPUs}, {used.GPUs, capacity.GPUs}, {used.MemoryGB, capacity.MemoryGB},
	} {
		if r.capacity > 0 {
			share = math.Max(share, r.used/r.capacity)
		}
	}
	return share
}

// Distribution summarizes the shares of a set of machines.
type Distribution struct {
	Machines  int     `json:"machines"`  // number of machines
	Mean      float64 `json:"mean"`      // mean share, weighted by size
	Variation float64 `json:"variation"` // coefficient of variation: standard deviation over mean
	Maximum   float64 `json:"maximum"`   // ratio of the largest share to the mean share
}

// NewDistribution returns the distribution of the machines' shares.
func NewDistribution(machines []Machine) Distribution {
	size, used, squares, largest := 0.0, 0.0, 0.0, 0.0
	for i := range machines {
		m := &machines[i]
		size += m.Size
		used += m.Size * m.Share()
		squares += m.Size * m.Share() * m.Share()
		largest = math.Max(largest, m.Share())
	}
	d := Distribution{Machines: len(machines)}
	if used == 0 {
		return d
	}
	d.Mean = used / size
	d.Variation = math.Sqrt(math.Max(0, squares/size-d.Mean*d.Mean)) / d.Mean
	d.Maximum = largest / d.Mean
	return d
}

// HotShare returns the share above which a machine is hot, given the mean share.
func (s Settings) HotShare(mean float64) float64 {
	return math.Max(s.High*mean, s.LeastShare)
}
