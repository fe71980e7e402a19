package wire

import (
	"encoding/json"
	"math"
	"strconv"
)

// escapedCharSize is how many characters JSON takes for a character outside ASCII where it is
// escaped, which it may be.
const escapedCharSize = 6

// Size returns how many characters an encoded value takes as JSON, which is the form that
// the state service's limits count. A value that can't be decoded counts its bytes.
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
	return 0 // the messages of this package hold nothing else
}

// listSize counts the brackets and the commas of a list or a map.
func listSize(elements int) int { return len("[]") + max(0, elements-1) }

// jsonFloatSize counts a decimal number, which keeps its point.
func jsonFloatSize(amount float64) int {
	size := len(strconv.FormatFloat(amount, 'g', -1, 64))
	if amount == math.Trunc(amount) {
		size += len(".0")
	}
	return size
}

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
