package config

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validPlatform = `
member = "n0"
area = "a"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:2"
new_field = 3
[[others]]
member = "n1"
endpoint = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[facts]
[[facts.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[facts.workers]
report_s = 2
lease_s = 10.0
cancel_s = 20.0
[facts.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 2.0
[facts.resources]
memory_mb = 125.0
max_connections = 1500
`

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadPlatform(t *testing.T) {
	p, err := LoadPlatform(writeFile(t, "s.toml", validPlatform))
	if err != nil || p.Member != "n0" || p.Facts.Teams[0].CPUsMax != 8 || p.Others[0].Addr != "127.0.0.1:3" {
		t.Fatalf("%+v %v", p, err)
	}
	if _, err := LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "cpus_max = 8.0", "cpus_max = 0.0", 1))); err != nil {
		t.Errorf("a guarantee without a limit: %v", err)
	}
	for bad, field := range map[string]string{
		strings.Replace(validPlatform, "lease_s = 10.0", "lease_s = 0", 1):                              "facts.workers.lease_s",
		strings.Replace(validPlatform, `state = "127.0.0.1:5"`, `state = "nowhere"`, 1):                 "external.state",
		strings.Replace(validPlatform, `member = "n0"`, "", 1):                                          "member",
		strings.Replace(validPlatform, "cpus_max = 8.0", "cpus_max = 1.0", 1):                           "facts.teams",
		strings.Replace(validPlatform, "report_s = 2", `report_s = "often"`, 1):                         "report_s",
		strings.Replace(validPlatform, `endpoint = "127.0.0.1:3"`, `endpoint = "127.0.0.1:3:9:9:9"`, 1): "others.n1.endpoint",
	} {
		if _, err := LoadPlatform(writeFile(t, "s.toml", bad)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("want an error about %s, got %v", field, err)
		}
	}
}

func TestLoadOperator(t *testing.T) {
	o, err := LoadOperator(writeFile(t, "o.hcl", "idle_s = 10\n"))
	if err != nil || o.IdleS != 10 || o.LeaderLife != DefaultOperator().LeaderLife {
		t.Fatalf("%+v %v", o, err)
	}
	for bad, field := range map[string]string{
		`leader_life = "soon"`: "leader_life", "headroom = -1": "headroom", "no_such = 1": "no_such", "idle_s = \"x\"": "idle_s",
	} {
		if _, err := LoadOperator(writeFile(t, "o.hcl", bad)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("want an error about %s, got %v", field, err)
		}
	}
	if _, err := LoadOperator("../deploy/pumicefront.hcl"); err != nil {
		t.Error(err)
	}
}

// The upcoming limits of the state service may be missing or incomplete.
func TestNextLimits(t *testing.T) {
	load := func(next string) (*Platform, error) {
		return LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "[facts.cloud]", next+"\n[facts.cloud]", 1)))
	}
	p, err := load("")
	if err != nil || p.Facts.State.UpcomingLimits() != p.Facts.State.Limits || p.Facts.State.MinLimits() != p.Facts.State.Limits {
		t.Errorf("without upcoming limits: %+v %v", p, err)
	}
	p, err = load("[facts.state.next]\nvalue_kb = 2.0\nwrite_rps = 70.0\nunknown = 1")
	if want := (Limits{100, 70, 2, 16}); err != nil || p.Facts.State.UpcomingLimits() != want {
		t.Errorf("upcoming limits %+v, want %+v: %v", p.Facts.State.UpcomingLimits(), want, err)
	}
	if want := (Limits{100, 50, 2, 16}); p.Facts.State.MinLimits() != want {
		t.Errorf("minimum limits %+v, want %+v", p.Facts.State.MinLimits(), want)
	}
	if got := p.Facts.State.Next.String(); got != "{WriteRPS:70 ValueKB:2}" {
		t.Errorf("formatted as %s", got)
	}
}

// An unusable upcoming limit gives a warning, and the controller starts with the minimum that it can work
// with instead. An invalid current limit is an error.
func TestUnusableNextLimits(t *testing.T) {
	for bad, want := range map[string]Limits{
		"value_kb = 0":          {100, 50, 1, 16},
		"value_kb = \"much\"":   {100, 50, 1, 16},
		"value_kb = -2.0":       {100, 50, 1, 16},
		"txn_ops = -1":          {100, 50, 8, 4},
		"txn_ops = 2.5":         {100, 50, 8, 4},
		"txn_ops = [8]":         {100, 50, 8, 4},
		"write_rps = 0.0":       {100, 5, 8, 16},
		"rps = nan":             {10, 50, 8, 16},
		"rps = inf\nrps_x = {}": {10, 50, 8, 16},
	} {
		name, _, _ := strings.Cut(bad, " ")
		p, err := LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "[facts.cloud]", "[facts.state.next]\n"+bad+"\n[facts.cloud]", 1)))
		if err != nil {
			t.Errorf("%s: want only a warning, got an error: %v", bad, err)
			continue
		}
		if got := p.Facts.State.MinLimits(); got != want {
			t.Errorf("%s: minimum limits %+v, want %+v", bad, got, want)
		}
		if len(p.Warnings) != 1 || p.Warnings[0].Field != "facts.state.next."+name || strings.Contains(p.Warnings[0].String(), "\n") {
			t.Errorf("%s: warnings %v", bad, p.Warnings)
		}
	}
	p, err := LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "txn_ops = 16", "txn_ops = 16\nnext = 5", 1)))
	if err != nil || len(p.Warnings) != 1 || p.Facts.State.MinLimits() != (Limits{10, 5, 1, 4}) {
		t.Errorf("next is not a table: %+v %v", p, err)
	}
	for _, bad := range []string{"txn_ops = 2", "value_kb = 0.5", "write_rps = \"few\""} {
		name, _, _ := strings.Cut(bad, " ")
		now := map[string]string{"txn_ops": "txn_ops = 16", "value_kb": "value_kb = 8.0", "write_rps": "write_rps = 50.0"}[name]
		if _, err := LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, now, bad, 1))); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s as a current limit: want an error about it, got %v", bad, err)
		}
	}
}

// A number of seconds beyond the range of a duration became the most negative one: a deadline in 30,000 years was the most
// urgent, and a machine type with a very long boot time was overdue at once.
func TestSecondsBeyondTheRangeOfADuration(t *testing.T) {
	for s, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Millisecond, -2: -2 * time.Second, 86400: 24 * time.Hour, 1e-12: 0,
		1e12: maxDuration, 1e300: maxDuration, math.Inf(1): maxDuration, -1e12: -maxDuration, math.Inf(-1): -maxDuration,
	} {
		if got := Seconds(s); got != want {
			t.Errorf("%v seconds are %v, want %v", s, got, want)
		}
	}
	if got := Seconds(math.NaN()); got != 0 {
		t.Errorf("NaN seconds are %v, want 0", got)
	}
}

// An objective that is not a number (TOML has nan and inf) or that is negative is refused with the name of its field; it
// ended every leader when headroom was computed from it. Objectives of other kinds are ignored.
func TestObjectivesOutOfRange(t *testing.T) {
	const objectives = "[[facts.objectives]]\nkind = \"KIND\"\nclass = \"a\"\nwithin_s = WITHIN\ntimes = TIMES\n"
	for _, c := range []struct{ kind, within, times, field string }{
		{"wait", "nan", "0.0", "facts.objectives.within_s"}, {"guarantee", "-1.0", "0.0", "facts.objectives.within_s"},
		{"finished", "inf", "0.0", "facts.objectives.within_s"}, {"deadline", "0.0", "nan", "facts.objectives.times"},
		{"wait", "5.0", "nan", ""}, {"deadline", "nan", "1.5", ""}, {"price", "nan", "nan", ""},
	} {
		text := strings.NewReplacer("KIND", c.kind, "WITHIN", c.within, "TIMES", c.times).Replace(objectives)
		_, err := LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "[facts.workers]", text+"[facts.workers]", 1)))
		if c.field == "" {
			if err != nil {
				t.Errorf("%+v: %v", c, err)
			}
			continue
		}
		checkSettingError(t, err, c.field, ErrOutOfRange, false)
	}
}
