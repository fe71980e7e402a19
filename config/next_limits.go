package config

import (
	"fmt"
	"math"
	"strings"
)

// Minimum limits of the state service that a controller can work with: the transaction that ends a job makes
// two changes, and an election, a rejection and a user's request take a few requests per second.
const (
	minRPS      = 10
	minWriteRPS = 5
	minValueKB  = 1
	minTxnOps   = 4
	maxLimit    = 1e6
)

// NextLimits holds the upcoming values of the limits that will change.
type NextLimits struct {
	RPS      *float64 // nil: unchanged
	WriteRPS *float64 // nil: unchanged
	ValueKB  *float64 // nil: unchanged
	TxnOps   *int     // nil: unchanged
}

// String formats the limits that will change, and leaves out the others.
func (n NextLimits) String() string {
	var parts []string
	add := func(name string, value *float64) {
		if value != nil {
			parts = append(parts, fmt.Sprintf("%s:%v", name, *value))
		}
	}
	add("RPS", n.RPS)
	add("WriteRPS", n.WriteRPS)
	add("ValueKB", n.ValueKB)
	if n.TxnOps != nil {
		parts = append(parts, fmt.Sprintf("TxnOps:%d", *n.TxnOps))
	}
	return "{" + strings.Join(parts, " ") + "}"
}

// rawNextLimits holds the values of facts.state.next as decoded from the file, of any type.
type rawNextLimits struct{ rps, writeRPS, valueKB, txnOps any }

// parseNextLimits parses facts.state.next and ignores unknown fields. If facts.state.next is not a table, it
// returns the minimum of every limit and a warning.
func parseNextLimits(table any) (NextLimits, []Warning) {
	if table == nil {
		return NextLimits{}, nil
	}
	fields, ok := table.(map[string]any)
	if !ok {
		return minLimits(), []Warning{{Field: "facts.state.next", Value: table, Used: "the minimum limits"}}
	}
	return rawNextLimits{
		rps: fields["rps"], writeRPS: fields["write_rps"], valueKB: fields["value_kb"], txnOps: fields["txn_ops"],
	}.parse()
}

// minLimits returns the minimum of every limit that a controller can work with.
func minLimits() NextLimits {
	rps, writeRPS, valueKB, txnOps := float64(minRPS), float64(minWriteRPS), float64(minValueKB), minTxnOps
	return NextLimits{RPS: &rps, WriteRPS: &writeRPS, ValueKB: &valueKB, TxnOps: &txnOps}
}

// Warning describes an unusable setting and the safe value that replaces it.
type Warning struct {
	Field string // as spelled in the file: "facts.state.next.value_kb"
	Value any    // as decoded from the file
	Used  string // the value used instead
}

// String returns the field, its unusable value and the value used instead.
func (w Warning) String() string {
	return fmt.Sprintf("field %s has the unusable value %v: using %v instead", w.Field, w.Value, w.Used)
}

// parse returns the usable limits, and a warning for each unusable one. A value that is not a number, or
// that is out of range, is replaced by the minimum that a controller can work with: whatever the actual
// limit will be, the controller then exceeds it as little as possible.
func (f rawNextLimits) parse() (NextLimits, []Warning) {
	var next NextLimits
	var warnings []Warning
	limit := func(name string, value any, minimum float64, whole bool) *float64 {
		if value == nil {
			return nil
		}
		number, isNumber := numberOf(value)
		if !isNumber || !(number >= minimum && number <= maxLimit) || whole && number != math.Trunc(number) {
			warnings = append(warnings, Warning{Field: "facts.state.next." + name, Value: value, Used: fmt.Sprint(minimum)})
			number = minimum
		}
		return &number
	}
	next.RPS = limit("rps", f.rps, minRPS, false)
	next.WriteRPS = limit("write_rps", f.writeRPS, minWriteRPS, false)
	next.ValueKB = limit("value_kb", f.valueKB, minValueKB, false)
	if ops := limit("txn_ops", f.txnOps, minTxnOps, true); ops != nil {
		n := int(*ops)
		next.TxnOps = &n
	}
	return next, warnings
}

// numberOf returns a decoded TOML number as a float64, and whether the value is a number.
func numberOf(value any) (float64, bool) {
	switch v := value.(type) {
	case float64:
		return v, true
	case int64:
		return float64(v), true
	}
	return 0, false
}
