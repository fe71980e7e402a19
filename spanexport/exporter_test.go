package spanexport

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Once the exporter is closed, its spans are in the file, appended to the previous content.
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
		t.Error("opening a file in a path that is not a directory gave no error")
	}
	var none *Exporter
	if err := none.Close(context.Background()); err != nil {
		t.Error(err)
	}
}
