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
	if o, err := LoadOperator(writeFile(t, "o.hcl", "")); err != nil || o.Cell != nil || o.Cell.String() != "off" {
		t.Errorf("without a block: %v %v", o.Cell, err)
	}
	const minimalCell = "name = \"a\"\nlisten = \"127.0.0.1:1\"\n"
	const peerBlock = "peer \"b\" {\n addresses = [\"127.0.0.1:2\"]\n}\n"
	load := func(block string) (Operator, error) {
		return LoadOperator(writeFile(t, "o.hcl", "cell {\n"+block+"}\n"))
	}
	o, err = load(minimalCell + peerBlock)
	if err != nil || o.Cell.LendCores != 0 || o.Cell.SpillAfter != 20*time.Second || o.Cell.ReturnAfter != 30*time.Second {
		t.Errorf("minimal settings: %v %v", o.Cell, err)
	}
	for bad, field := range map[string]string{
		minimalCell: "cell.peer",
		strings.Replace(minimalCell, `"a"`, `""`, 1) + peerBlock:            "cell.name",
		strings.Replace(minimalCell, "127.0.0.1:1", "here", 1) + peerBlock:  "cell.listen",
		minimalCell + strings.Replace(peerBlock, `"b"`, `"a"`, 1):           "cell.peer",
		minimalCell + peerBlock + peerBlock:                                 "cell.peer",
		minimalCell + strings.Replace(peerBlock, "127.0.0.1:2", "there", 1): "cell.peer.b.addresses",
		minimalCell + "peer \"b\" {\n addresses = []\n}\n":                  "cell.peer.b.addresses",
		minimalCell + peerBlock + "lend_cores = -1\n":                       "cell.lend_cores",
		minimalCell + peerBlock + "spill_after = \"soon\"\n":                "cell.spill_after",
		minimalCell + peerBlock + "return_after = \"0s\"\n":                 "cell.return_after",
		minimalCell + peerBlock + "no_such = 1\n":                           "cell.no_such",
	} {
		if _, err := load(bad); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: want an error about %s, got %v", bad, field, err)
		}
	}
}
