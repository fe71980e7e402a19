// Package zoneview shows operators the state of the zones.
package zoneview

import (
	"pumicefront/statusview"
	"pumicefront/zones"
)

// View shows the zones.
var View = statusview.View[zones.Status]{Path: zones.StatusPath, Render: Render}
