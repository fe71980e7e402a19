package sim

import (
	"time"

	"pumicefront/config"
)

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
	if s.Zones > 0 { // batches have an aim, bulk work has none
		f.Objectives = append(f.Objectives, config.Objective{Kind: "finished", Class: "batch", WithinS: 90})
	}
	if s.GPUs { // one team has GPUs alone, one cores alone, one both
		f.Teams = []config.Team{{Name: "red", GPUs: 4 * s.Scale, GPUsMax: 8 * s.Scale},
			{Name: "blue", CPUs: 12 * s.Scale, CPUsMax: 48 * s.Scale, GPUs: 2 * s.Scale, GPUsMax: 9 * s.Scale},
			{Name: "green", CPUs: 10 * s.Scale, CPUsMax: 30 * s.Scale}}
		f.Objectives = append(f.Objectives, config.Objective{Kind: "deadline", Class: "batch", Times: 1})
		f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 10, 45, 70
		f.State.WriteRPS = 25
	}
	return p
}

// Shape is the size of a deployment.
type Shape struct {
	Controllers     int
	Machines        int           // the most that the cloud gives, half of them of each type
	Scale           float64       // of the teams' guarantees and limits
	Tasks           int           // the most that an array has
	ArrivalInterval time.Duration // between submissions, in the mean
	GPUs            bool          // are what the teams share; reports come seldom and little can be written
	Chains          bool          // users submit pipelines, and the state service lowers its limits
	Zones           int           // among which the machines are divided evenly; 0: two, of which either may have all
}

// The shapes that runs are played in: as the first deployments are, as they have
// grown, and as the fleets are with half as many machines again; and where GPUs
// are shared, small and with more machines than any deployment has.
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
