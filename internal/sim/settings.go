package sim

import (
	"time"

	"pumicefront/config"
)

// settings returns the platform settings of a deployment of the given shape.
func settings(s Shape) config.Platform {
	var p config.Platform
	f := &p.Facts
	f.Teams = []config.Team{{Name: "red", CPUs: 16 * s.Scale, CPUsMax: 24 * s.Scale}, {Name: "blue", CPUs: 8 * s.Scale, CPUsMax: 40 * s.Scale}}
	f.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 2, Share: 0.9}}
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 2, 10, 24
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 150, 60, 8, 16
	f.Cloud.RPS, f.Cloud.ListLagS = 4, 5
	f.Resources.MemoryMB, f.Resources.MaxConnections = 125, 1500
	if s.Chains {
		next := config.Limits{ValueKB: 1.2, TxnOps: 5, WriteRPS: 42}
		f.State.Next.ValueKB, f.State.Next.TxnOps, f.State.Next.WriteRPS = &next.ValueKB, &next.TxnOps, &next.WriteRPS
		f.Objectives = append(f.Objectives, config.Objective{Kind: "deadline", Class: "last", Times: 1})
	}
	if s.Zones > 0 { // jobs of class batch have an objective, those of class bulk have none
		f.Objectives = append(f.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 90})
	}
	if s.GPUs { // one team has a quota of GPUs only, one of cores only, one of both
		f.Teams = []config.Team{{Name: "red", GPUs: 4 * s.Scale, GPUsMax: 8 * s.Scale},
			{Name: "blue", CPUs: 12 * s.Scale, CPUsMax: 48 * s.Scale, GPUs: 2 * s.Scale, GPUsMax: 9 * s.Scale},
			{Name: "green", CPUs: 10 * s.Scale, CPUsMax: 30 * s.Scale}}
		f.Objectives = append(f.Objectives, config.Objective{Kind: "deadline", Class: "batch", Times: 1})
		f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 10, 45, 70
		f.State.WriteRPS = 25
	}
	return p
}

// Shape is the size of a simulated deployment and the kind of its workload.
type Shape struct {
	Controllers     int
	Machines        int           // maximum that the cloud rents out, half of them of each type
	Scale           float64       // factor on the teams' guarantees and limits
	Tasks           int           // maximum number of tasks of an array
	ArrivalInterval time.Duration // mean time between submissions
	GPUs            bool          // teams share GPUs; reports are rare, leases long and the write limit of the state service low
	Chains          bool          // users submit chains of dependent jobs, and the state service lowers its limits
	Zones           int           // number of zones, with the machines divided evenly; 0: two zones without a limit of their own
}

// The shapes that are simulated. Small has the size of the first deployments, and Grown that of
// the same deployments later. Fleet has 1.5 times as many machines as the fleet
// deployments. GPUs is Small with GPUs that teams share, and LargeGPUs has more machines than any
// deployment.
var (
	Small     = Shape{Controllers: 3, Machines: 9, Scale: 1, Tasks: 7, ArrivalInterval: 4 * time.Second}
	Grown     = Shape{Controllers: 5, Machines: 240, Scale: 20, Tasks: 120, ArrivalInterval: 3 * time.Second}
	Fleet     = Shape{Controllers: 5, Machines: 1900, Scale: 400, Tasks: 300, ArrivalInterval: 600 * time.Millisecond}
	GPUs      = Shape{Controllers: 3, Machines: 9, Scale: 1, Tasks: 7, ArrivalInterval: 4 * time.Second, GPUs: true}
	Chains    = Shape{Controllers: 3, Machines: 24, Scale: 4, Tasks: 20, ArrivalInterval: 6 * time.Second, Chains: true}
	Cell      = Shape{Controllers: 3, Machines: 24, Scale: 3, Tasks: 10, ArrivalInterval: 5 * time.Second}
	Zoned     = Shape{Controllers: 3, Machines: 42, Scale: 6, Tasks: 16, ArrivalInterval: 2500 * time.Millisecond, Zones: 3}
	LargeGPUs = Shape{Controllers: 5, Machines: 2600, Scale: 80, Tasks: 150, ArrivalInterval: 700 * time.Millisecond, GPUs: true}
)
