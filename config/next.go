package config

import (
	"fmt"
	"math"
	"strings"
)

// The least limits of the state service that a controller can work with: the end of a job
// takes two changes, and an election, a refusal and a user's request a few requests a second.
const (
	leastRPS      = 10
	leastWriteRPS = 5
	leastValueKB  = 1
	leastTxnOps   = 4
	mostOfALimit  = 1e6
)

// Next names the limits that will change.
type Next struct {
	RPS      *float64 // nil: stays
	WriteRPS *float64 // nil: stays
	ValueKB  *float64 // nil: stays
	TxnOps   *int     // nil: stays
}

// String shows what is named.
func (n Next) String() string {
	var named []string
	show := func(name string, value *float64) {
		if value != nil {
			named = append(named, fmt.Sprintf("%s:%v", name, *value))
		}
	}
	show("RPS", n.RPS)
	show("WriteRPS", n.WriteRPS)
	show("ValueKB", n.ValueKB)
	if n.TxnOps != nil {
		named = append(named, fmt.Sprintf("TxnOps:%d", *n.TxnOps))
	}
	return "{" + strings.Join(named, " ") + "}"
}

// nextFields is state.next as it stands in the file, whatever the types of its values.
type nextFields struct{ rps, writeRPS, valueKB, txnOps any }

// nextLimits reads state.next. Unknown fields are ignored; what is no table gives no limit
// that can be used.
func nextLimits(table any) (Next, []Warning) {
	if table == nil {
		return Next{}, nil
	}
	fields, ok := table.(map[string]any)
	if !ok {
		return leastLimits(), []Warning{{Field: "facts.state.next", Value: table, Used: "the least limits"}}
	}
	return nextFields{
		rps: fields["rps"], writeRPS: fields["write_rps"], valueKB: fields["value_kb"], txnOps: fields["txn_ops"],
	}.understand()
}

func leastLimits() Next {
	rps, writeRPS, valueKB, txnOps := float64(leastRPS), float64(leastWriteRPS), float64(leastValueKB), leastTxnOps
	return Next{RPS: &rps, WriteRPS: &writeRPS, ValueKB: &valueKB, TxnOps: &txnOps}
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

// understand takes what can be used of the fields. A value of another kind, or one outside
// the bounds, gives way to the least that a controller can work with: whatever limit comes,
// the service then exceeds it as little as it can.
func (f nextFields) understand() (Next, []Warning) {
	var next Next
	var warnings []Warning
	limit := func(name string, value any, least float64, whole bool) *float64 {
		if value == nil {
			return nil
		}
		amount, known := amountOf(value)
		if !known || !(amount >= least && amount <= mostOfALimit) || whole && amount != math.Trunc(amount) {
			warnings = append(warnings, Warning{Field: "facts.state.next." + name, Value: value, Used: fmt.Sprint(least)})
			amount = least
		}
		return &amount
	}
	next.RPS = limit("rps", f.rps, leastRPS, false)
	next.WriteRPS = limit("write_rps", f.writeRPS, leastWriteRPS, false)
	next.ValueKB = limit("value_kb", f.valueKB, leastValueKB, false)
	if ops := limit("txn_ops", f.txnOps, leastTxnOps, true); ops != nil {
		n := int(*ops)
		next.TxnOps = &n
	}
	return next, warnings
}

func amountOf(value any) (float64, bool) {
	switch v := value.(type) {
	case float64:
		return v, true
	case int64:
		return float64(v), true
	}
	return 0, false
}
