package config

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pumicefront/balance"
)

// The file under deploy/ contains the defaults, settings that are left out have their defaults, and an
// invalid setting gives an error that names it.
func TestLoadSpreading(t *testing.T) {
	o, err := LoadOperator("../deploy/load-spreading.hcl")
	if err != nil || o.Spreading == nil || !reflect.DeepEqual(o.Spreading.Settings, balance.DefaultSettings()) {
		t.Fatalf("%+v %v", o.Spreading, err)
	}
	o, err = LoadOperator(writeFile(t, "o.hcl", "load_spreading {\n stay = \"2m\"\n keep_idle = true\n status_listen = \"127.0.0.1:7072\"\n}\n"))
	want := balance.DefaultSettings()
	want.Stay, want.KeepIdle = 2*time.Minute, true
	if err != nil || o.Spreading.Settings != want || o.Spreading.StatusListen != "127.0.0.1:7072" || o.SpreadingBlock != nil {
		t.Errorf("%+v %v", o.Spreading, err)
	}
	if o, err := LoadOperator("../deploy/pumicefront.hcl"); err != nil || o.Spreading != nil || o.Spreading.String() != "off" {
		t.Errorf("without a block: %+v %v", o.Spreading, err)
	}
	for bad, field := range map[string]string{
		"high = 1.0":                     "load_spreading.high",
		"high = \"much\"":                "load_spreading.high",
		"least_share = 1.5":              "load_spreading.least_share",
		"least_gain = 0":                 "load_spreading.least_gain",
		"cost_share = -0.1":              "load_spreading.cost_share",
		"settled = \"1s\"":               "load_spreading.settled",
		"settled = 60":                   "load_spreading.settled",
		"stay = \"40s\"":                 "load_spreading.stay",
		"hold = \"0s\"":                  "load_spreading.hold",
		"moves_per_minute = -1":          "load_spreading.moves_per_minute",
		"moves_in_flight = 101":          "load_spreading.moves_in_flight",
		"keep_idle = \"maybe\"":          "load_spreading.keep_idle",
		"status_listen = \"everywhere\"": "load_spreading.status_listen",
		"no_such = 1":                    "load_spreading.no_such",
	} {
		if _, err := LoadOperator(writeFile(t, "o.hcl", "load_spreading {\n"+bad+"\n}\n")); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: want an error about %s, got %v", bad, field, err)
		}
	}
}
