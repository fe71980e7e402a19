package config

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
)

// An invalid setting in the platform's file (TOML) or the operators' file (HCL) gives a *SettingError. It names the
// field as spelled in the file, matches the expected one of ErrMissing, ErrMalformed, ErrOutOfRange and ErrConflict with
// errors.Is, and wraps the parser's error, if there is one.
func TestSettingErrorsNameFieldAndKind(t *testing.T) {
	type want struct {
		field    string
		kind     error
		hasCause bool // a parser's error is wrapped
	}
	platformCases := map[string]want{
		strings.Replace(validPlatform, "lease_s = 10.0", "lease_s = 0", 1):                     {"facts.workers.lease_s", ErrOutOfRange, false},
		strings.Replace(validPlatform, `state = "127.0.0.1:5"`, `state = "nowhere"`, 1):        {"external.state", ErrMalformed, true},
		strings.Replace(validPlatform, `member = "n0"`, "", 1):                                 {"member", ErrMissing, false},
		strings.Replace(validPlatform, `member = "n1"`, `member = "n0"`, 1):                    {"others.member", ErrConflict, false},
		strings.Replace(validPlatform, `member = "n1"`, `member = ""`, 1):                      {"others.member", ErrMissing, false},
		strings.Replace(validPlatform, "cpus_max = 8.0", "cpus_max = 1.0", 1):                  {"facts.teams", ErrOutOfRange, false},
		strings.Replace(validPlatform, `name = "red"`, `name = ""`, 1):                         {"facts.teams.name", ErrMissing, false},
		strings.Replace(validPlatform, "report_s = 2", `report_s = "often"`, 1):                {"facts.workers.report_s", ErrMalformed, true},
		strings.Replace(validPlatform, "max_connections = 1500", "max_connections = 8", 1):     {"facts.resources.max_connections", ErrOutOfRange, false},
		strings.Replace(validPlatform, "txn_ops = 16", "txn_ops = 2", 1):                       {"facts.state.txn_ops", ErrOutOfRange, false},
		strings.Replace(validPlatform, `endpoint = "127.0.0.1:3"`, `endpoint = "here:3:9"`, 1): {"others.n1.endpoint", ErrMalformed, true},
	}
	for invalidText, w := range platformCases {
		_, err := LoadPlatform(writeFile(t, "s.toml", invalidText))
		checkSettingError(t, err, w.field, w.kind, w.hasCause)
	}
	operatorCases := map[string]want{
		`leader_life = "soon"`: {"leader_life", ErrMalformed, true},
		`leader_life = "0.2s"`: {"leader_life", ErrOutOfRange, false},
		"headroom = -1":        {"headroom", ErrOutOfRange, false},
		"no_such = 1":          {"no_such", ErrMalformed, true},
		`idle_s = "x"`:         {"idle_s", ErrMalformed, true},
		"cell {\n name = \"\"\n listen = \"127.0.0.1:1\"\n}\n":                                                     {"cell.name", ErrMissing, false},
		"cell {\n name = \"a\"\n listen = \"127.0.0.1:1\"\n}\n":                                                    {"cell.peer", ErrMissing, false},
		"cell {\n name = \"a\"\n listen = \"here\"\n}\n":                                                           {"cell.listen", ErrMalformed, true},
		"cell {\n name = \"a\"\n listen = \"127.0.0.1:1\"\n peer \"a\" {\n addresses = [\"127.0.0.1:2\"]\n }\n}\n": {"cell.peer", ErrConflict, false},
		"zone_recovery {\n hold_down = \"soon\"\n}\n":                                                              {"zone_recovery.hold_down", ErrMalformed, true},
		"zone_recovery {\n lost_after = \"0s\"\n}\n":                                                               {"zone_recovery.lost_after", ErrOutOfRange, false},
		"load_spreading {\n status_listen = \"everywhere\"\n}\n":                                                   {"load_spreading.status_listen", ErrMalformed, true},
		"load_spreading {\n moves_in_flight = 101\n}\n":                                                            {"load_spreading.moves_in_flight", ErrOutOfRange, false},
	}
	for invalidText, w := range operatorCases {
		_, err := LoadOperator(writeFile(t, "o.hcl", invalidText))
		checkSettingError(t, err, w.field, w.kind, w.hasCause)
	}
}

func checkSettingError(t *testing.T, err error, field string, kind error, hasCause bool) {
	t.Helper()
	var settingErr *SettingError
	if !errors.As(err, &settingErr) {
		t.Errorf("want a *SettingError about %s, got %T %v", field, err, err)
		return
	}
	if settingErr.Field != field || !errors.Is(err, kind) || (settingErr.Err != nil) != hasCause {
		t.Errorf("want field %s, kind %v, wrapped cause: %v; got field %s, cause %v: %v", field, kind, hasCause, settingErr.Field, settingErr.Err, err)
	}
	for _, other := range []error{ErrMissing, ErrMalformed, ErrOutOfRange, ErrConflict} {
		if other != kind && errors.Is(err, other) {
			t.Errorf("%s: matches %v as well as %v", field, other, kind)
		}
	}
	if !strings.Contains(err.Error(), "field "+field) {
		t.Errorf("the error text does not name field %s: %v", field, err)
	}
}

// An out-of-range duration that the file spells with a unit, such as "0.2s", is printed in seconds with the word
// "seconds". A field whose name ends in the unit, such as lease_s, is printed as a plain number.
func TestSettingErrorText(t *testing.T) {
	_, err := LoadOperator(writeFile(t, "o.hcl", `leader_life = "0.2s"`))
	if err == nil || !strings.HasSuffix(err.Error(), "field leader_life is 0.2 seconds, must be between 0.5 and 60") {
		t.Errorf("got %v", err)
	}
	_, err = LoadPlatform(writeFile(t, "s.toml", strings.Replace(validPlatform, "lease_s = 10.0", "lease_s = 0", 1)))
	if err == nil || !strings.HasSuffix(err.Error(), "s.toml: field facts.workers.lease_s is 0, must be between 0.1 and 86400") {
		t.Errorf("got %v", err)
	}
}

// A missing file is not a *SettingError; for the platform's file the error matches fs.ErrNotExist.
func TestMissingFileIsNotSettingError(t *testing.T) {
	_, err := LoadPlatform(writeFile(t, "s.toml", validPlatform) + ".gone")
	var settingErr *SettingError
	if !errors.Is(err, fs.ErrNotExist) || errors.As(err, &settingErr) {
		t.Errorf("missing platform's file: got %v, want fs.ErrNotExist and no *SettingError", err)
	}
	_, err = LoadOperator(writeFile(t, "o.hcl", "") + ".gone")
	if err == nil || errors.As(err, &settingErr) {
		t.Errorf("missing operators' file: got %v, want an error that is no *SettingError", err)
	}
}
