package wire

import (
	"encoding/json"
	"math"
	"strconv"
)

// escapedCharSize is the size of a non-ASCII character in JSON where it is escaped, as in \u00e9. The
// state service may escape it, so it is counted as escaped.
const escapedCharSize = 6

// Size returns the number of characters that an encoded value takes as JSON, the form to which
// the state service's size limits apply. For a value that can't be decoded it returns the number of bytes.
func Size(raw []byte) int {
	var value any
	if decMode.Unmarshal(raw, &value) != nil {
		return len(raw)
	}
	return jsonSize(value)
}

func jsonSize(value any) int {
	switch v := value.(type) {
	case nil:
		return len("null")
	case bool:
		return len(strconv.FormatBool(v))
	case string:
		return jsonStringSize(v)
	case uint64:
		return len(strconv.FormatUint(v, 10))
	case int64:
		return len(strconv.FormatInt(v, 10))
	case float64:
		return jsonFloatSize(v)
	case []any:
		size := listSize(len(v))
		for _, element := range v {
			size += jsonSize(element)
		}
		return size
	case map[any]any:
		size := listSize(len(v))
		for key, element := range v {
			size += jsonSize(key) + len(":") + jsonSize(element)
		}
		return size
	}
	return 0 // the messages of this package contain no other types
}

// listSize returns the size of the brackets and commas of a list or a map.
func listSize(elements int) int { return len("[]") + max(0, elements-1) }

// Floats of this range, of either sign, are written without an exponent in JSON.
const (
	minPositional = 1e-6
	maxPositional = 1e21
)

// jsonFloatSize returns the size of a float, which is written with ".0" where it is integral.
func jsonFloatSize(amount float64) int {
	format := byte('g')
	if magnitude := math.Abs(amount); magnitude >= minPositional && magnitude < maxPositional {
		format = 'f'
	}
	size := len(strconv.FormatFloat(amount, format, -1, 64))
	if amount == math.Trunc(amount) {
		size += len(".0")
	}
	return size
}

// jsonStringSize returns the size of a quoted string with every non-ASCII character escaped.
func jsonStringSize(text string) int {
	quoted, err := json.Marshal(text)
	if err != nil {
		return escapedCharSize * len(text)
	}
	size := 0
	for _, r := range string(quoted) {
		if r < 0x80 {
			size++
		} else {
			size += escapedCharSize
		}
	}
	return size
}
