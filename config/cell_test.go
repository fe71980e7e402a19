package config

import (
	"strings"
	"testing"
	"time"
)

func TestCellSettings(t *testing.T) {
	o, err := LoadOperator("../deploy/cell.hcl")
	if err != nil || o.Cell == nil || o.Cell.Name != "gent" || o.Cell.LendCores != 200 || len(o.Cell.Peers) != 2 || len(o.Cell.Peers[0].Addresses) != 3 {
		t.Fatalf("deploy/cell.hcl: %v %v", o.Cell, err)
	}
	if o, err := LoadOperator(write(t, "o.hcl", "")); err != nil || o.Cell != nil || o.Cell.String() != "off" {
		t.Errorf("without a block: %v %v", o.Cell, err)
	}
	const least = "name = \"a\"\nlisten = \"127.0.0.1:1\"\n"
	const peer = "peer \"b\" {\n addresses = [\"127.0.0.1:2\"]\n}\n"
	load := func(block string) (Operator, error) {
		return LoadOperator(write(t, "o.hcl", "cell {\n"+block+"}\n"))
	}
	o, err = load(least + peer)
	if err != nil || o.Cell.LendCores != 0 || o.Cell.SpillAfter != 20*time.Second || o.Cell.ReturnAfter != 30*time.Second {
		t.Errorf("the least of settings: %v %v", o.Cell, err)
	}
	for bad, field := range map[string]string{
		least: "cell.peer",
		strings.Replace(least, `"a"`, `""`, 1) + peer:           "cell.name",
		strings.Replace(least, "127.0.0.1:1", "here", 1) + peer: "cell.listen",
		least + strings.Replace(peer, `"b"`, `"a"`, 1):          "cell.peer",
		least + peer + peer: "cell.peer",
		least + strings.Replace(peer, "127.0.0.1:2", "there", 1): "cell.peer.b.addresses",
		least + "peer \"b\" {\n addresses = []\n}\n":             "cell.peer.b.addresses",
		least + peer + "lend_cores = -1\n":                       "cell.lend_cores",
		least + peer + "spill_after = \"soon\"\n":                "cell.spill_after",
		least + peer + "return_after = \"0s\"\n":                 "cell.return_after",
		least + peer + "no_such = 1\n":                           "cell.no_such",
	} {
		if _, err := load(bad); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: want a complaint about %s, got %v", bad, field, err)
		}
	}
}
