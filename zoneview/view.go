// Package zoneview displays the state of the zones to operators.
package zoneview

import (
	"pumicefront/statusview"
	"pumicefront/zones"
)

// View displays the state of the zones.
var View = statusview.View[zones.Status]{Path: zones.StatusPath, Render: Render}
