package spanexport

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What was traced is in the file once the exporter is closed, after what was there before.
func TestSpansAreAppended(t *testing.T) {
	target := filepath.Join(t.TempDir(), "trace")
	for _, name := range []string{"first", "second"} {
		e, err := Open(target, "n0")
		if err != nil {
			t.Fatal(err)
		}
		_, span := e.Tracer("test").Start(context.Background(), name)
		span.End()
		if err := e.Close(context.Background()); err != nil {
			t.Error(err)
		}
	}
	raw, err := os.ReadFile(target)
	if err != nil || !strings.Contains(string(raw), `"first"`) || !strings.Contains(string(raw), `"second"`) || !strings.Contains(string(raw), "n0") {
		t.Errorf("%v %s", err, raw)
	}
	if _, err := Open(filepath.Join(target, "nowhere"), "n0"); err == nil {
		t.Error("a file that can't be opened is no error")
	}
	var none *Exporter
	if err := none.Close(context.Background()); err != nil {
		t.Error(err)
	}
}
