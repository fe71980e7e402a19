package config

import (
	"errors"
	"fmt"
	"strings"
)

// The kinds of fault in a setting. A SettingError matches one of them with errors.Is.
var (
	// ErrMissing tells of a setting that must be given and is missing or empty.
	ErrMissing = errors.New("missing")
	// ErrMalformed tells of a value that is not of its kind (an address, a duration, a number),
	// or of a setting that the operators' file may not hold.
	ErrMalformed = errors.New("malformed")
	// ErrOutOfRange tells of a number outside the bounds that a controller can work with.
	ErrOutOfRange = errors.New("out of range")
	// ErrConflict tells of a setting that repeats a name, or names this member or cell itself.
	ErrConflict = errors.New("conflict")
)

// SettingError tells what is wrong with one setting of either file.
type SettingError struct {
	// Field is the setting as the file spells it, with the tables or blocks that hold it,
	// joined by dots: "facts.workers.lease_s", "cell.peer.b.addresses".
	Field string
	// Kind is ErrMissing, ErrMalformed, ErrOutOfRange or ErrConflict.
	Kind error
	// Detail tells what was found and what is allowed; it may be empty.
	Detail string
	// Err is the fault that a parser found, if there is one.
	Err error
}

// Error names the field, then what is wrong, then the parser's fault:
// "field facts.workers.lease_s is 0, must be between 0.1 and 86400".
func (e *SettingError) Error() string {
	var text strings.Builder
	text.WriteString("field " + e.Field)
	if e.Detail != "" {
		text.WriteString(" " + e.Detail)
	}
	if e.Err != nil {
		text.WriteString(": " + e.Err.Error())
	}
	return text.String()
}

// Unwrap returns the kind and the parser's fault, so that errors.Is and errors.As find both.
func (e *SettingError) Unwrap() []error {
	wrapped := []error{e.Kind}
	if e.Err != nil {
		wrapped = append(wrapped, e.Err)
	}
	return wrapped
}

// missing is the error of a setting that is not given.
func missing(field, detail string) *SettingError {
	return &SettingError{Field: field, Kind: ErrMissing, Detail: detail}
}

// malformed is the error of a value that a parser could not read.
func malformed(field string, cause error) *SettingError {
	return &SettingError{Field: field, Kind: ErrMalformed, Err: cause}
}

// conflicting is the error of a setting that repeats a name or names its own member or cell.
func conflicting(field, detail string) *SettingError {
	return &SettingError{Field: field, Kind: ErrConflict, Detail: detail}
}

// outOfRange is the error of a number outside its bounds; unit, if any, is that of the number.
func outOfRange(f bound) *SettingError {
	value := fmt.Sprint(f.value)
	if f.unit != "" {
		value += " " + f.unit
	}
	return &SettingError{Field: f.name, Kind: ErrOutOfRange, Detail: fmt.Sprintf("is %s, must be between %v and %v", value, f.min, f.max)}
}
