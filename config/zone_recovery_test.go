package config

import (
	"strings"
	"testing"
	"time"

	"pumicefront/zones"
)

func TestZoneRecoveryIsOffByDefault(t *testing.T) {
	o, err := LoadOperator(writeFile(t, "o.hcl", "idle_s = 10\n"))
	if err != nil || o.ZoneRecovery != nil || o.ZoneRecovery.String() != "off" {
		t.Errorf("%+v %v", o, err)
	}
}

func TestZoneRecoverySettings(t *testing.T) {
	o, err := LoadOperator(writeFile(t, "o.hcl", "zone_recovery {\n hold_down = \"7s\"\n first_starts = 3\n}\n"))
	want := zones.DefaultSettings()
	want.HoldDown, want.FirstStarts = 7*time.Second, 3
	if err != nil || o.ZoneRecovery == nil || o.ZoneRecovery.Settings != want {
		t.Fatalf("%v %v", o.ZoneRecovery, err)
	}
	o, err = LoadOperator("../deploy/zone-recovery.hcl")
	if err != nil || o.ZoneRecovery == nil || o.ZoneRecovery.Settings != zones.DefaultSettings() {
		t.Errorf("deploy/zone-recovery.hcl: %v %v", o.ZoneRecovery, err)
	}
	for bad, field := range map[string]string{
		`hold_down = "soon"`:                        "zone_recovery.hold_down",
		`lost_after = "0s"`:                         "zone_recovery.lost_after",
		`hold_down_most = "1s"`:                     "zone_recovery.hold_down_most",
		`flap_window = "48h"`:                       "zone_recovery.flap_window",
		`first_starts = 0`:                          "zone_recovery.first_starts",
		`first_fetches = -1`:                        "zone_recovery.first_fetches",
		`first_fetches = "many"`:                    "zone_recovery.first_fetches",
		`status_listen = "here"`:                    "zone_recovery.status_listen",
		`no_such = 1`:                               "zone_recovery.no_such",
		"lost_after = \"1s\"\n}\nzone_recovery {\n": "zone_recovery",
	} {
		if _, err := LoadOperator(writeFile(t, "o.hcl", "zone_recovery {\n"+bad+"\n}\n")); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: want an error about %s, got %v", bad, field, err)
		}
	}
}
