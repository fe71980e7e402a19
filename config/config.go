// Package config reads and checks a controller's two settings files: the platform settings (TOML), which
// the platform generates, and the operator settings (HCL), which the operators maintain.
package config

import (
	"errors"
	"fmt"
	"math"
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

// Platform holds the settings that the platform passes to a controller. Unknown fields are ignored.
type Platform struct {
	Member string `toml:"member"`        // this controller's name
	Listen string `toml:"client_listen"` // host:port for users, workers and health checks
	Mesh   string `toml:"mesh_addr"`     // host:port for the other controllers
	Others []Peer `toml:"others"`        // the other controllers
	// External holds the addresses of the external services, as host:port.
	External struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts Deployment `toml:"facts"` // properties of the deployment

	Warnings []Warning `toml:"-"` // unusable settings that were replaced by safe values
}

// Peer is another controller of the same cluster.
type Peer struct {
	Member string `toml:"member"`   // its name
	Addr   string `toml:"endpoint"` // its mesh address, host:port
}

// Deployment describes the deployment: teams, objectives, and the intervals and limits of the services.
type Deployment struct {
	Teams      []Team      `toml:"teams"`      // quotas of the teams
	Objectives []Objective `toml:"objectives"` // service-level objectives
	// Workers holds the timing of the workers.
	Workers struct {
		ReportS float64 `toml:"report_s"` // seconds between reports, plus or minus a quarter
		LeaseS  float64 `toml:"lease_s"`  // seconds after its last answered report until a worker's lease expires
		CancelS float64 `toml:"cancel_s"` // seconds within which all tasks of a cancelled job must have ended
	} `toml:"workers"`
	State State `toml:"state"` // limits of the state service
	// Cloud holds the limits of the cloud API.
	Cloud struct {
		RPS      float64 `toml:"rps"`        // requests per second
		ListLagS float64 `toml:"list_lag_s"` // seconds by which the list of machines may be stale
	} `toml:"cloud"`
	// Resources holds the resource limits of this process.
	Resources struct {
		MemoryMB       float64 `toml:"memory_mb"`       // memory, in MB
		MaxConnections int     `toml:"max_connections"` // maximum number of open sockets
	} `toml:"resources"`
}

// State holds the current limits of the state service, and in Next the limits that will replace them at a
// time that is not announced. Limits that Next does not name stay unchanged.
type State struct {
	Limits
	Next NextLimits `toml:"-"` // upcoming changes of the limits
}

// Limits holds the limits of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // puts and deletes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value, in KiB encoded as JSON
	TxnOps   int     `toml:"txn_ops"`   // puts and deletes per transaction
}

// UpcomingLimits returns the limits that apply after the upcoming change.
func (s State) UpcomingLimits() Limits {
	return Limits{valueOr(s.Next.RPS, s.RPS), valueOr(s.Next.WriteRPS, s.WriteRPS), valueOr(s.Next.ValueKB, s.ValueKB), valueOr(s.Next.TxnOps, s.TxnOps)}
}

// MinLimits returns the lower of the current and the upcoming value of each limit: these limits are safe
// both before and after the change.
func (s State) MinLimits() Limits {
	next := s.UpcomingLimits()
	return Limits{min(s.RPS, next.RPS), min(s.WriteRPS, next.WriteRPS), min(s.ValueKB, next.ValueKB), min(s.TxnOps, next.TxnOps)}
}

// valueOr returns the value, or the fallback if the value is nil.
func valueOr[N int | float64](value *N, fallback N) N {
	if value == nil {
		return fallback
	}
	return *value
}

// Team is the quota of a team: its guarantee and its limit.
type Team struct {
	Name    string  `toml:"name"`     // team name, as in job specifications
	CPUs    float64 `toml:"cpus"`     // guaranteed cores; 0: none
	CPUsMax float64 `toml:"cpus_max"` // maximum cores in use at once; 0: no limit
	GPUs    float64 `toml:"gpus"`     // guaranteed GPUs; 0: none
	GPUsMax float64 `toml:"gpus_max"` // maximum GPUs in use at once; 0: no limit
}

// Objective is a service-level objective on how fast jobs or tasks start or finish. A deadline objective is
// expressed as a multiple of each job's own deadline.
type Objective struct {
	Kind    string  `toml:"kind"`     // "wait", "guarantee", "finished" or "deadline"; others are ignored
	Class   string  `toml:"class"`    // job class that it applies to; empty: all
	WithinS float64 `toml:"within_s"` // seconds within which the share of jobs or tasks must start or finish
	Times   float64 `toml:"times"`    // for a deadline: multiple of the job's due_s
	Share   float64 `toml:"share"`    // share of jobs or tasks, 0 to 1, that must meet the objective
}

// maxObjective is the largest number of seconds, or multiple of a deadline, in an objective.
const maxObjective = 1e9

// check checks the numbers of an objective of a kind that is not ignored.
func (o Objective) check() error {
	switch o.Kind {
	case "wait", "guarantee", "finished":
		return checkBounds([]bound{{"facts.objectives.within_s", seconds, o.WithinS, 0, maxObjective}})
	case "deadline":
		return checkBounds([]bound{{"facts.objectives.times", "", o.Times, 0, maxObjective}})
	}
	return nil
}

// Operator holds the operator settings; docs/operations.md explains each of them.
type Operator struct {
	LeaderLife   string  `hcl:"leader_life,optional"`   // time to live of the leader's lease, as a Go duration: "1.4s"
	SilentShare  float64 `hcl:"silent_share,optional"`  // time without a report after which a machine is suspected to have failed, as a share of the worker lease
	IdleS        float64 `hcl:"idle_s,optional"`        // seconds that an idle machine is kept before scale-in
	Headroom     float64 `hcl:"headroom,optional"`      // spare capacity, as a share of a class's recent peak; grows with slow boots, 0 if machines boot within the start objective
	HeadroomMost float64 `hcl:"headroom_most,optional"` // maximum share of spare capacity
	Surge        float64 `hcl:"surge,optional"`         // maximum spare capacity for services, in standard deviations of the arrivals during a machine's boot
	SurgeBatch   float64 `hcl:"surge_batch,optional"`   // as Surge, for batch jobs

	ZoneRecoveryBlock *zoneRecoveryBlock  `hcl:"zone_recovery,block"` // block as in the file; nil after loading
	ZoneRecovery      *ZoneRecovery       // parsed from the block; nil: zone recovery is off
	CellBlock         *cellBlock          `hcl:"cell,block"`           // block as in the file; nil after loading
	SpreadingBlock    *loadSpreadingBlock `hcl:"load_spreading,block"` // block as in the file; nil after loading
	Spreading         *LoadSpreading      // parsed from the block; nil: load spreading is off
	Cell              *Cell               // parsed from the block; nil: spillover between cells is off
}

// DefaultOperator returns the defaults of settings that the operators' file leaves out.
func DefaultOperator() Operator {
	return Operator{LeaderLife: "1.4s", SilentShare: 0.25, IdleS: 15, Headroom: 0.1, HeadroomMost: 1.5, Surge: 2, SurgeBatch: 1}
}

// LeaderLeaseTTL returns the time to live of the leader's lease, or 0 if LeaderLife is not a valid duration.
func (o Operator) LeaderLeaseTTL() time.Duration {
	d, err := time.ParseDuration(o.LeaderLife)
	if err != nil {
		return 0
	}
	return d
}

// maxDuration bounds the durations that Seconds returns, well below the longest one, so that sums of them don't overflow.
const maxDuration = 100 * 365 * 24 * time.Hour

// Seconds converts a number of seconds, as in settings and messages, into a duration. An amount beyond maxDuration, of
// either sign, gives the nearest duration within, and one that is not a number gives 0.
func Seconds(s float64) time.Duration {
	nanoseconds := s * float64(time.Second)
	if math.IsNaN(nanoseconds) {
		return 0
	}
	return time.Duration(max(-float64(maxDuration), min(nanoseconds, float64(maxDuration))))
}

// LoadPlatform reads and checks the platform's file. An invalid setting gives a *SettingError, prefixed with
// the path of the file. A file that cannot be read gives the error of os.ReadFile, and a file that is not
// valid TOML gives the decoder's error. Unusable upcoming limits give Warnings instead of an error.
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
	if err := p.readNextLimits(raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// readNextLimits reads the upcoming limits separately from the other settings, because a fault in them must
// not prevent the controller from starting.
func (p *Platform) readNextLimits(raw []byte) error {
	var file struct {
		Facts struct {
			State struct {
				Next any `toml:"next"`
			} `toml:"state"`
		} `toml:"facts"`
	}
	if err := toml.Unmarshal(raw, &file); err != nil {
		return fmt.Errorf("read upcoming limits: %w", err)
	}
	p.Facts.State.Next, p.Warnings = parseNextLimits(file.Facts.State.Next)
	return nil
}

// LoadOperator reads and checks the operators' file; an empty path gives the defaults. An invalid setting
// gives a *SettingError: prefixed with the path of the file if a check found it, and with the path in the
// HCL diagnostics if the HCL decoder found it. A file that cannot be read or parsed gives the HCL
// diagnostics.
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

// settingAt returns the name of the setting at a position in the file: HCL diagnostics contain the position
// of a fault, but not the name of the setting. It returns "unknown" if there is no setting there.
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

// seconds is the unit in which durations are checked against their bounds.
const seconds = "seconds"

// bound is the allowed range of a numeric setting, together with its value.
type bound struct {
	name     string // as spelled in the file
	unit     string // unit of value if the file uses another form, such as "1.4s"; empty: none
	value    float64
	min, max float64
}

// checkBounds returns a *SettingError of kind ErrOutOfRange for the first setting outside its bounds.
func checkBounds(bounds []bound) error {
	for _, f := range bounds {
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
	return checkBounds([]bound{
		{"leader_life", seconds, o.LeaderLeaseTTL().Seconds(), 0.5, 60},
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
			return missing("others.member", "is empty")
		}
		if o.Member == p.Member {
			return conflicting("others.member", fmt.Sprintf("is %q, the name of this member", o.Member))
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
			return &SettingError{Field: "facts.teams", Kind: ErrOutOfRange, Detail: fmt.Sprintf("of team %q: a guarantee or limit is negative, or a guarantee exceeds its limit", t.Name)}
		}
	}
	for _, o := range p.Facts.Objectives {
		if err := o.check(); err != nil {
			return err
		}
	}
	f := &p.Facts
	return checkBounds([]bound{
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
