package spreadview

import (
	"fmt"
	"maps"
	"slices"
)

// formatCounts formats counts sorted by key; the keys are outcomes or reasons.
func formatCounts[K ~string](all map[K]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(all)) {
		text += fmt.Sprintf(" %s %d", string(name), all[name])
	}
	return text
}
