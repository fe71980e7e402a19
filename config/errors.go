package config

import (
	"errors"
	"fmt"
	"strings"
)

// The kinds of invalid setting. A SettingError matches exactly one of them with errors.Is.
var (
	// ErrMissing means that a required setting is missing or empty.
	ErrMissing = errors.New("missing")
	// ErrMalformed means that a value cannot be parsed (as an address, a duration or a number), or that the
	// operators' file contains an unknown setting.
	ErrMalformed = errors.New("malformed")
	// ErrOutOfRange means that a number is outside the range that a controller supports.
	ErrOutOfRange = errors.New("out of range")
	// ErrConflict means that a name is used twice, or is the name of this member or cell itself.
	ErrConflict = errors.New("conflict")
)

// SettingError describes an invalid setting in either settings file.
type SettingError struct {
	// Field is the setting as spelled in the file, with its enclosing tables or blocks, joined by dots:
	// "facts.workers.lease_s", "cell.peer.b.addresses".
	Field string
	// Kind is ErrMissing, ErrMalformed, ErrOutOfRange or ErrConflict.
	Kind error
	// Detail describes the value found and the values allowed; it may be empty.
	Detail string
	// Err is the parser's error; nil if there is none.
	Err error
}

// Error returns the field, followed by the detail and the parser's error:
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

// Unwrap returns the kind and the parser's error, so that errors.Is and errors.As find both.
func (e *SettingError) Unwrap() []error {
	wrapped := []error{e.Kind}
	if e.Err != nil {
		wrapped = append(wrapped, e.Err)
	}
	return wrapped
}

// missing returns the error for a required setting that is missing or empty.
func missing(field, detail string) *SettingError {
	return &SettingError{Field: field, Kind: ErrMissing, Detail: detail}
}

// malformed returns the error for a value that could not be parsed.
func malformed(field string, cause error) *SettingError {
	return &SettingError{Field: field, Kind: ErrMalformed, Err: cause}
}

// conflicting returns the error for a name that is used twice or is that of this member or cell.
func conflicting(field, detail string) *SettingError {
	return &SettingError{Field: field, Kind: ErrConflict, Detail: detail}
}

// outOfRange returns the error for a number outside its bounds, with the unit of the number if it has one.
func outOfRange(f bound) *SettingError {
	value := fmt.Sprint(f.value)
	if f.unit != "" {
		value += " " + f.unit
	}
	return &SettingError{Field: f.name, Kind: ErrOutOfRange, Detail: fmt.Sprintf("is %s, must be between %v and %v", value, f.min, f.max)}
}
