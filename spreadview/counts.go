package spreadview

import (
	"fmt"
	"maps"
	"slices"
)

// counts lists counts by name; the keys are outcomes or reasons.
func counts[K ~string](all map[K]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(all)) {
		text += fmt.Sprintf(" %s %d", string(name), all[name])
	}
	return text
}
