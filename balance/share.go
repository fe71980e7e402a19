package balance

import (
	"math"

	"pumicefront/scheduler"
)

// Share is a machine's dominant share: the largest, over its resources, of what is used over what there
// is. It is 0 for a machine that has nothing.
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

// Distribution sums up the shares of machines.
type Distribution struct {
	Machines  int     `json:"machines"`  // how many machines are summed up
	Mean      float64 `json:"mean"`      // weighted by size
	Variation float64 `json:"variation"` // coefficient of variation: standard deviation over mean
	Maximum   float64 `json:"maximum"`   // the largest share over the mean
}

// Distribute sums up the shares of machines.
func Distribute(machines []Machine) Distribution {
	size, used, squares, most := 0.0, 0.0, 0.0, 0.0
	for i := range machines {
		m := &machines[i]
		size += m.Size
		used += m.Size * m.Share()
		squares += m.Size * m.Share() * m.Share()
		most = math.Max(most, m.Share())
	}
	d := Distribution{Machines: len(machines)}
	if used == 0 {
		return d
	}
	d.Mean = used / size
	d.Variation = math.Sqrt(math.Max(0, squares/size-d.Mean*d.Mean)) / d.Mean
	d.Maximum = most / d.Mean
	return d
}

// HotShare is the share above which a machine is hot, where the mean share is this.
func (s Settings) HotShare(mean float64) float64 {
	return math.Max(s.High*mean, s.LeastShare)
}
