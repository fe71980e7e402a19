package wire

// maxAmount is the bound below which every amount in a message must be.
const maxAmount = 1e12

// minResource is the least amount of a resource that a machine type may have, apart from none: ratios of the amounts then
// stay numbers.
const minResource = 1e-6

// validAmount reports whether a decimal number is an amount: a number that is not negative and below maxAmount.
func validAmount(amount float64) bool { return amount >= 0 && amount < maxAmount }

// validResource reports whether a decimal number is an amount of a resource that a machine type may have.
func validResource(amount float64) bool {
	return amount == 0 || validAmount(amount) && amount >= minResource
}

// CheckAmounts checks the numbers of a job that did not come through ParseJob in this process, such as one in a record or
// in a message of another cell. It joins a *FieldError for each invalid one.
func (j *Job) CheckAmounts() error {
	p := parser{}
	p.require("pieces", j.Tasks >= 1 && j.Tasks <= MaxTasks)
	p.require("cores", validAmount(j.CPUs))
	p.require("gpus", validAmount(j.GPUs))
	p.require("ram_gb", validAmount(j.MemoryGB))
	p.require("size_gb", validAmount(j.ImageGB))
	p.require("reckon_s", validAmount(j.EstimateS))
	p.require("mark_s", validAmount(j.CheckpointS))
	p.require("stash_s", validAmount(j.SaveS))
	p.require("due_s", j.DeadlineS == nil || validAmount(*j.DeadlineS))
	return p.err
}

// CheckAmounts checks the numbers of a machine type. It joins a *FieldError for each invalid one.
func (t *MachineType) CheckAmounts() error {
	p := parser{}
	p.require("cores", validResource(t.CPUs))
	p.require("gpus", validResource(t.GPUs))
	p.require("ram_gb", validResource(t.MemoryGB))
	p.require("local_gb", validAmount(t.CacheGB))
	p.require("fetch_gb_per_s", validAmount(t.FetchGBps))
	p.require("rate", validAmount(t.Price))
	p.require("low_price", validAmount(t.SpotPrice))
	p.require("boot_s", validAmount(t.BootS))
	return p.err
}
