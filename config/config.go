// Package config reads the settings that the platform hands to a controller
// (TOML) and those that its operators keep (HCL).
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/pelletier/go-toml/v2"
)

// Platform is the file that the platform hands over. Unknown fields are ignored.
type Platform struct {
	Member string `toml:"member"`        // this controller's name
	Listen string `toml:"client_listen"` // host:port for users, workers and health checks
	Mesh   string `toml:"mesh_addr"`     // host:port for the other controllers
	Others []Peer `toml:"others"`        // the other controllers
	// External are the addresses of the services, host:port.
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts Deployment `toml:"facts"` // what the deployment is like

	Warnings []Warning `toml:"-"` // settings that could not be used
}

// Peer is another controller.
type Peer struct {
	Member string `toml:"member"`   // its name
	Addr   string `toml:"endpoint"` // its mesh address, host:port
}

// Deployment describe the deployment.
type Deployment struct {
	Teams      []Team      `toml:"teams"`      // quotas of the teams
	Objectives []Objective `toml:"objectives"` // service-level objectives
	// Workers are the workers' intervals.
	Workers struct {
		ReportS float64 `toml:"report_s"` // seconds between reports, give or take a quarter
		LeaseS  float64 `toml:"lease_s"`  // seconds without an answered report after which a worker's lease expires
		CancelS float64 `toml:"cancel_s"` // seconds within which all tasks of a cancelled job must be gone
	} `toml:"workers"`
	State State `toml:"state"` // limits of the state service
	// Cloud are the limits of the cloud.
	Cloud struct {
		RPS      float64 `toml:"rps"`        // requests per second
		ListLagS float64 `toml:"list_lag_s"` // seconds by which its list of machines lags
	} `toml:"cloud"`
	// Resources are what this process may take of its machine.
	Resources struct {
		MemoryMB       float64 `toml:"memory_mb"`       // memory, in MB
		MaxConnections int     `toml:"max_connections"` // sockets open at once
	} `toml:"resources"`
}

// State holds the limits of the state service, and in Next those that it will have
// from a moment that nobody announces; what Next doesn't name stays.
type State struct {
	Limits
	Next NextLimits `toml:"-"` // limits that will change; see Coming
}

// Limits of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, in KiB as JSON
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes of one transaction
}

// Coming are the limits from that moment on.
func (s State) Coming() Limits {
	return Limits{valueOr(s.Next.RPS, s.RPS), valueOr(s.Next.WriteRPS, s.WriteRPS), valueOr(s.Next.ValueKB, s.ValueKB), valueOr(s.Next.TxnOps, s.TxnOps)}
}

// Tightest hold before and after it.
func (s State) Tightest() Limits {
	next := s.Coming()
	return Limits{min(s.RPS, next.RPS), min(s.WriteRPS, next.WriteRPS), min(s.ValueKB, next.ValueKB), min(s.TxnOps, next.TxnOps)}
}

func valueOr[N int | float64](value *N, fallback N) N {
	if value == nil {
		return fallback
	}
	return *value
}

// Team is a team's guarantee and limit.
type Team struct {
	Name    string  `toml:"name"`     // as jobs name it
	CPUs    float64 `toml:"cpus"`     // guaranteed cores; 0: none
	CPUsMax float64 `toml:"cpus_max"` // most cores that its tasks may use at once; 0: no limit
	GPUs    float64 `toml:"gpus"`     // guaranteed GPUs; 0: none
	GPUsMax float64 `toml:"gpus_max"` // most GPUs that its tasks may use at once; 0: no limit
}

// Objective is one aim on starting or finishing. For a deadline it is in multiples
// of the time that each job has.
type Objective struct {
	Kind    string  `toml:"kind"`     // "wait", "guarantee", "finished" or "deadline"; others are ignored
	Class   string  `toml:"class"`    // class of jobs that it is for; empty: all
	WithinS float64 `toml:"within_s"` // seconds within which a share of the jobs or tasks start or finish
	Times   float64 `toml:"times"`    // for a deadline: the multiple of the job's due_s
	Share   float64 `toml:"share"`    // share, 0 to 1, that is to be within
}

// Operator holds the operators' own settings; docs/operations.md explains each.
type Operator struct {
	LeaderLife   string  `hcl:"leader_life,optional"`   // life of the leader's lease, a Go duration: "1.4s"
	SilentShare  float64 `hcl:"silent_share,optional"`  // share of the workers' lease that a machine may be silent before it is suspected
	IdleS        float64 `hcl:"idle_s,optional"`        // seconds that an unneeded machine stays
	Headroom     float64 `hcl:"headroom,optional"`      // room kept beyond what runs, as a share of it
	HeadroomMost float64 `hcl:"headroom_most,optional"` // the most that Headroom may come to
	Surge        float64 `hcl:"surge,optional"`         // the most room kept for services, in deviations of what arrives while a machine boots
	SurgeBatch   float64 `hcl:"surge_batch,optional"`   // the same for batch work

	ZoneRecoveryBlock *zoneRecoveryBlock  `hcl:"zone_recovery,block"` // as the file has it; nil once read
	ZoneRecovery      *ZoneRecovery       // what follows from the block; nil: zone recovery is off
	CellBlock         *cellBlock          `hcl:"cell,block"`           // as the file has it; nil once read
	SpreadingBlock    *loadSpreadingBlock `hcl:"load_spreading,block"` // as the file has it; nil once read
	Spreading         *LoadSpreading      // what follows from the block; nil: load is not spread
	Cell              *Cell               // what follows from the block; nil: this cell is alone
}

// DefaultOperator are the settings where the file says nothing.
func DefaultOperator() Operator {
	return Operator{LeaderLife: "1.4s", SilentShare: 0.25, IdleS: 15, Headroom: 0.1, HeadroomMost: 1.5, Surge: 2, SurgeBatch: 1}
}

// LeaderLifetime is the life of the leader's lease; 0 where LeaderLife is no duration.
func (o Operator) LeaderLifetime() time.Duration {
	d, err := time.ParseDuration(o.LeaderLife)
	if err != nil {
		return 0
	}
	return d
}

// Seconds turns a number of seconds from the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadPlatform reads and checks the platform's file. A wrong setting gives a *SettingError behind
// the path of the file; a file that can't be read gives the error of os.ReadFile, and one that is
// no TOML that of the decoder. Coming limits that can't be used give Warnings instead.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	var p Platform
	if err := toml.Unmarshal(raw, &p); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) && len(decode.Key()) > 0 {
			return nil, fmt.Errorf("%s: %w", path, malformed(strings.Join(decode.Key(), "."), err))
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.readNext(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// readNext takes the coming limits from the file apart from the rest: what is wrong with
// them must not stop the service from starting.
func (p *Platform) readNext(raw []byte) error {
	var file struct {
		Facts struct {
			State struct {
				Next any `toml:"next"`
			} `toml:"state"`
		} `toml:"facts"`
	}
	if err := toml.Unmarshal(raw, &file); err != nil {
		return fmt.Errorf("read coming limits: %w", err)
	}
	p.Facts.State.Next, p.Warnings = parseNextLimits(file.Facts.State.Next)
	return nil
}

// LoadOperator reads and checks the operators' file; with no path the defaults hold. A wrong
// setting gives a *SettingError (those that the checks find behind the path of the file, those that
// HCL finds with the path in its diagnostics); a file that can't be read or parsed gives the
// diagnostics of HCL.
func LoadOperator(path string) (Operator, error) {
	o := DefaultOperator()
	if path == "" {
		return o, nil
	}
	file, diags := hclparse.NewParser().ParseHCLFile(path)
	if diags.HasErrors() {
		return o, fmt.Errorf("read settings: %w", diags)
	}
	if diags := gohcl.DecodeBody(file.Body, nil, &o); diags.HasErrors() {
		return o, malformed(settingAt(file.Body, diags[0].Subject), diags)
	}
	if err := o.check(); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	if o.ZoneRecoveryBlock != nil {
		recovery, err := o.ZoneRecoveryBlock.settings()
		if err != nil {
			return o, fmt.Errorf("%s: %w", path, err)
		}
		o.ZoneRecovery, o.ZoneRecoveryBlock = recovery, nil
	}
	if o.CellBlock != nil {
		cell, err := o.CellBlock.settings()
		if err != nil {
			return o, fmt.Errorf("%s: %w", path, err)
		}
		o.Cell, o.CellBlock = cell, nil
	}
	if o.SpreadingBlock != nil {
		spreading, err := o.SpreadingBlock.settings()
		if err != nil {
			return o, fmt.Errorf("%s: %w", path, err)
		}
		o.Spreading, o.SpreadingBlock = spreading, nil
	}
	return o, nil
}

// settingAt names the setting that a complaint is about; HCL tells only where it is.
func settingAt(body hcl.Body, at *hcl.Range) string {
	native, ok := body.(*hclsyntax.Body)
	if !ok || at == nil {
		return "unknown"
	}
	for name, a := range native.Attributes {
		if a.SrcRange.ContainsPos(at.Start) {
			return name
		}
	}
	for _, block := range native.Blocks {
		if name := settingAt(block.Body, at); name != "unknown" {
			return block.Type + "." + name
		}
		if block.Range().ContainsPos(at.Start) {
			return block.Type
		}
	}
	return "unknown"
}

// seconds is the unit of a duration where it is checked against its bounds.
const seconds = "seconds"

// bound is one bound on a setting.
type bound struct {
	name     string // as the file spells it
	unit     string // of value where the file gives it in another form, such as "1.4s"; empty: none
	value    float64
	min, max float64
}

// checkFields returns a *SettingError of ErrOutOfRange for the first field outside its bounds.
func checkFields(fields []bound) error {
	for _, f := range fields {
		if !(f.value >= f.min && f.value <= f.max) {
			return outOfRange(f)
		}
	}
	return nil
}

func (o Operator) check() error {
	if _, err := time.ParseDuration(o.LeaderLife); err != nil {
		return malformed("leader_life", err)
	}
	return checkFields([]bound{
		{"leader_life", seconds, o.LeaderLifetime().Seconds(), 0.5, 60},
		{"silent_share", "", o.SilentShare, 0.2, 10},
		{"idle_s", "", o.IdleS, 0, 86400},
		{"headroom", "", o.Headroom, 0, 10},
		{"headroom_most", "", o.HeadroomMost, 0, 10},
		{"surge", "", o.Surge, 0, 100},
		{"surge_batch", "", o.SurgeBatch, 0, 100},
	})
}

func (p *Platform) check() error {
	if p.Member == "" {
		return missing("member", "is missing")
	}
	addrs := map[string]string{"client_listen": p.Listen, "mesh_addr": p.Mesh,
		"external.cloud": p.External.Cloud, "external.state": p.External.State}
	for _, o := range p.Others {
		if o.Member == "" {
			return missing("others.member", `is ""`)
		}
		if o.Member == p.Member {
			return conflicting("others.member", fmt.Sprintf("is %q, this member itself", o.Member))
		}
		addrs["others."+o.Member+".endpoint"] = o.Addr
	}
	for name, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return malformed(name, err)
		}
	}
	for _, t := range p.Facts.Teams {
		validQuota := func(guarantee, limit float64) bool {
			return guarantee >= 0 && limit >= 0 && (limit == 0 || guarantee <= limit) // 0: no limit
		}
		if t.Name == "" {
			return missing("facts.teams.name", "is empty")
		}
		if !validQuota(t.CPUs, t.CPUsMax) || !validQuota(t.GPUs, t.GPUsMax) {
			return &SettingError{Field: "facts.teams", Kind: ErrOutOfRange, Detail: fmt.Sprintf("of team %q: a guarantee is outside its limit", t.Name)}
		}
	}
	f := &p.Facts
	return checkFields([]bound{
		{"facts.workers.report_s", "", f.Workers.ReportS, 0.01, 3600},
		{"facts.workers.lease_s", "", f.Workers.LeaseS, 0.1, 86400},
		{"facts.workers.cancel_s", "", f.Workers.CancelS, 0.1, 86400},
		{"facts.state.rps", "", f.State.RPS, minRPS, maxLimit},
		{"facts.state.write_rps", "", f.State.WriteRPS, minWriteRPS, maxLimit},
		{"facts.state.value_kb", "", f.State.ValueKB, minValueKB, 1e4},
		{"facts.state.txn_ops", "", float64(f.State.TxnOps), minTxnOps, 1e4},
		{"facts.cloud.rps", "", f.Cloud.RPS, 0.1, 1e4},
		{"facts.cloud.list_lag_s", "", f.Cloud.ListLagS, 0, 3600},
		{"facts.resources.memory_mb", "", f.Resources.MemoryMB, 32, 1e6},
		{"facts.resources.max_connections", "", float64(f.Resources.MaxConnections), 32, 1e6},
	})
}
