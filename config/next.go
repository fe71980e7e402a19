package config

import (
	"fmt"
	"math"
	"strings"
)

// The least limits of the state service that a controller can work with: the end of a job
// takes two changes, and an election, a refusal and a user's request a few requests a second.
const (
	minRPS      = 10
	minWriteRPS = 5
	minValueKB  = 1
	minTxnOps   = 4
	maxLimit    = 1e6
)

// NextLimits names the limits that will change.
type NextLimits struct {
	RPS      *float64 // nil: stays
	WriteRPS *float64 // nil: stays
	ValueKB  *float64 // nil: stays
	TxnOps   *int     // nil: stays
}

// String shows what is named.
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

// rawNextLimits is state.next as it stands in the file, whatever the types of its values.
type rawNextLimits struct{ rps, writeRPS, valueKB, txnOps any }

// parseNextLimits reads state.next. Unknown fields are ignored; what is no table gives no limit
// that can be used.
func parseNextLimits(table any) (NextLimits, []Warning) {
	if table == nil {
		return NextLimits{}, nil
	}
	fields, ok := table.(map[string]any)
	if !ok {
		return minLimits(), []Warning{{Field: "facts.state.next", Value: table, Used: "the least limits"}}
	}
	return rawNextLimits{
		rps: fields["rps"], writeRPS: fields["write_rps"], valueKB: fields["value_kb"], txnOps: fields["txn_ops"],
	}.parse()
}

func minLimits() NextLimits {
	rps, writeRPS, valueKB, txnOps := float64(minRPS), float64(minWriteRPS), float64(minValueKB), minTxnOps
	return NextLimits{RPS: &rps, WriteRPS: &writeRPS, ValueKB: &valueKB, TxnOps: &txnOps}
}

// A Warning tells of a setting that can't be used, and of the safe value that is used
// instead.
type Warning struct {
	Field string // as the file spells it: "facts.state.next.value_kb"
	Value any    // as it stands in the file
	Used  string // the value that is used instead
}

// String tells the field, what is wrong, and what follows.
func (w Warning) String() string {
	return fmt.Sprintf("field %s is %v, which can't be used: the service keeps to %v", w.Field, w.Value, w.Used)
}

// parse takes what can be used of the fields. A value of another kind, or one outside
// the bounds, gives way to the least that a controller can work with: whatever limit comes,
// the service then exceeds it as little as it can.
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

func numberOf(value any) (float64, bool) {
	switch v := value.(type) {
	case float64:
		return v, true
	case int64:
		return float64(v), true
	}
	return 0, false
}
