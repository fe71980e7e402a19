package wire

import (
	"errors"
	"maps"
	"math"
	"slices"
	"testing"
)

// sampleSubmission returns a valid submission in its encoded form, with one unknown field.
func sampleSubmission() map[string]any {
	return map[string]any{
		"uid": "req-000412", "lane": "train", "crew": "vision", "shape": "sweep", "urgency": "high", "pieces": 16,
		"cores": 8.0, "gpus": 1, "ram_gb": 64.0, "bundle": "img-07", "size_gb": 6.2, "builds": []string{"g8"}, "yard": nil,
		"one_zone": true, "scatter": false, "lendable": true, "reckon_s": 240.0, "mark_s": 30.0, "stash_s": 4.0, "due_s": nil,
		"unknown": map[string]any{"x": 1},
	}
}

func TestParseJobAccepts(t *testing.T) {
	job, id, err := ParseJob(Marshal(sampleSubmission()))
	if err != nil || id != "req-000412" || job.GPUs != 1 || job.Zone != "" || job.Types[0] != "g8" || job.DeadlineS != nil {
		t.Fatalf("job %+v, id %q, error %v", job, id, err)
	}
}

// An invalid submission is refused, and its job ID is still returned where it can be read. The controller needs
// the ID to answer an invalid resubmission of a known job with the job's state instead of status 400.
func TestParseJobRefuses(t *testing.T) {
	for name, v := range map[string]any{
		"uid": "job-1", "shape": "spiral", "urgency": "urgent", "pieces": 0, "cores": -1.0, "ram_gb": "much",
		"one_zone": 1, "bundle": "", "reckon_s": nil, "due_s": -5.0, "builds": "g8",
	} {
		bad := maps.Clone(sampleSubmission())
		bad[name] = v
		_, id, err := ParseJob(Marshal(bad))
		if err == nil {
			t.Errorf("%s = %v is accepted", name, v)
		}
		if name != "uid" && id != "req-000412" {
			t.Errorf("%s = %v: id %q", name, v, id)
		}
	}
	missing := sampleSubmission()
	delete(missing, "mark_s")
	if _, _, err := ParseJob(Marshal(missing)); err == nil {
		t.Error("a missing field is accepted")
	}
	for _, raw := range [][]byte{nil, {0xff}, []byte("not cbor"), Marshal([]int{1}), Marshal("x")} {
		if _, _, err := ParseJob(raw); err == nil {
			t.Errorf("%x is accepted", raw)
		}
	}
}

func TestSplitTaskID(t *testing.T) {
	if job, n, ok := SplitTaskID(TaskID("req-000412", 3)); !ok || job != "req-000412" || n != 3 {
		t.Fatal(job, n, ok)
	}
	for _, bad := range []string{"req-1", "req-1/x", "req-1/-1"} {
		if _, _, ok := SplitTaskID(bad); ok {
			t.Errorf("%s is accepted", bad)
		}
	}
}

// A submission may list the jobs that it depends on, by ID; anything else in that field is refused.
func TestParseJobNeeds(t *testing.T) {
	withNeeds := func(v any) map[string]any {
		m := maps.Clone(sampleSubmission())
		m["waits_on"] = v
		return m
	}
	for _, none := range []any{nil, []string{}} {
		if job, _, err := ParseJob(Marshal(withNeeds(none))); err != nil || len(job.Needs) != 0 {
			t.Errorf("%v: needs %+v, error %v", none, job.Needs, err)
		}
	}
	job, _, err := ParseJob(Marshal(withNeeds([]string{"req-2", "req-1", "req-2"})))
	if err != nil || len(job.Needs) != 2 || job.Needs[0] != "req-2" || job.Needs[1] != "req-1" {
		t.Errorf("needs %+v, error %v", job.Needs, err)
	}
	for _, bad := range []any{"req-1", 7, []any{1}, []string{"job-1"}, []string{"req-1", ""}, []any{nil}, map[string]any{"req-1": 1}} {
		if _, id, err := ParseJob(Marshal(withNeeds(bad))); err == nil || id != "req-000412" {
			t.Errorf("%v is accepted, id %q", bad, id)
		}
	}
}

// Size counts the characters of the JSON form, to which the state service's limits apply. It is longer than the encoding
// that is sent.
func TestSizeCountsTheJSONForm(t *testing.T) {
	for want, value := range map[string]any{
		`{"uid":"req-000412","waits_on":["req-000398","req-000405"]}`: map[string]any{"uid": "req-000412", "waits_on": []string{"req-000398", "req-000405"}},
		`[4.0,-12.5,7,true,null,[],{}]`:                               []any{4.0, -12.5, uint64(7), true, nil, []any{}, map[string]any{}},
		`"a \"quoted\" word"`:                                         `a "quoted" word`,
		`"\u00e9"`:                                                    "é",
		`[123456789012.0,900000000000.0,0.00005]`:                     []any{123456789012.0, 9e11, 0.00005},
	} {
		raw := Marshal(value)
		if got := Size(raw); got != len(want) {
			t.Errorf("size of %s is %d, want %d", want, got, len(want))
		}
		if len(raw) >= len(want) {
			t.Errorf("%s is encoded in %d bytes, want fewer than its JSON form has", want, len(raw))
		}
	}
}

// Each invalid field of a submission yields a *FieldError with the name that the field has in the protocol.
func TestParseJobNamesWrongFields(t *testing.T) {
	bad := maps.Clone(sampleSubmission())
	bad["shape"], bad["pieces"] = "spiral", 0
	_, _, err := ParseJob(Marshal(bad))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || !errors.Is(err, ErrInvalidField) {
		t.Fatalf("error of type %T: %v", err, err)
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("error of type %T is not a joined error", err)
	}
	var fieldNames []string
	for _, joinedErr := range joined.Unwrap() {
		if errors.As(joinedErr, &fieldErr) {
			fieldNames = append(fieldNames, fieldErr.Field)
		}
	}
	if !slices.Equal(fieldNames, []string{"pieces", "shape"}) || err.Error() != "field pieces is missing or invalid\nfield shape is missing or invalid" {
		t.Errorf("named fields %v, message %q", fieldNames, err.Error())
	}
	if _, _, err := ParseJob([]byte("not cbor")); err == nil || errors.Is(err, ErrInvalidField) {
		t.Errorf("error for a body that can't be decoded: %v", err)
	}
}

// The numbers of a job and of a machine type are checked where they did not come through ParseJob; the error names the field.
func TestCheckAmounts(t *testing.T) {
	valid := func() Job { return Job{Tasks: 1, CPUs: 0.5e-18, MemoryGB: 60, SaveS: 1e11} }
	if j := valid(); j.CheckAmounts() != nil {
		t.Errorf("%+v: %v", j, j.CheckAmounts())
	}
	negative := -1.0
	for field, change := range map[string]func(j *Job){
		"pieces": func(j *Job) { j.Tasks = MaxTasks + 1 }, "cores": func(j *Job) { j.CPUs = math.NaN() }, "gpus": func(j *Job) { j.GPUs = -1 },
		"ram_gb": func(j *Job) { j.MemoryGB = math.Inf(1) }, "stash_s": func(j *Job) { j.SaveS = 1e12 }, "due_s": func(j *Job) { j.DeadlineS = &negative },
	} {
		j := valid()
		change(&j)
		var fieldErr *FieldError
		if err := j.CheckAmounts(); !errors.As(err, &fieldErr) || fieldErr.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
	for field, change := range map[string]func(m *MachineType){
		"cores": func(m *MachineType) { m.CPUs = math.Inf(1) }, "gpus": func(m *MachineType) { m.GPUs = 1e-300 },
		"boot_s": func(m *MachineType) { m.BootS = math.NaN() }, "rate": func(m *MachineType) { m.Price = -1 },
	} {
		m := MachineType{Name: "g8", CPUs: 8, MemoryGB: 64, BootS: 30}
		if err := m.CheckAmounts(); err != nil {
			t.Errorf("%+v: %v", m, err)
		}
		change(&m)
		var fieldErr *FieldError
		if err := m.CheckAmounts(); !errors.As(err, &fieldErr) || fieldErr.Field != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}
