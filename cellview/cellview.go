// Package cellview shows operators the links between cells, and sends an operator's declaration that a cell is
// permanently gone to the home cell, which had granted jobs to it.
package cellview

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"pumicefront/cells"
	"pumicefront/statusclient"
	"pumicefront/statusview"
)

// View shows the links of a cell to the other cells.
var View = statusview.View[cells.Status]{Path: cells.StatusPath, Render: Render}

// Render writes a status as lines of text.
func Render(s cells.Status) string {
	var out strings.Builder
	fmt.Fprintf(&out, "cell %s, leader %s, lends %.0f cores; every controller ready: %v\n\n", s.Cell, s.Member, s.Lends, s.Ready)
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CELL\tANSWERED\tFAILURES\tROOM\tGRANTED\tOLDEST EPOCH\tDECLARED GONE")
	for _, l := range s.Links {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.0f\t%d\t%d\t%s\n", l.Cell, lastReplyText(l.AnsweredS), l.Failures, l.Room, l.Granted, l.OldestEpoch, declaredGoneText(l))
	}
	fmt.Fprintln(table, "\nTEAM\tWAY\tJOBS\tTASKS")
	for _, t := range s.Out {
		fmt.Fprintf(table, "%s\tout\t%d\t%d\n", t.Team, t.Jobs, t.Tasks)
	}
	for _, t := range s.In {
		fmt.Fprintf(table, "%s\tin\t%d\t%d\n", t.Team, t.Jobs, t.Tasks)
	}
	if err := table.Flush(); err != nil {
		return err.Error()
	}
	return out.String()
}

func lastReplyText(ago float64) string {
	if ago < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0f s ago", ago)
}

func declaredGoneText(l cells.LinkStatus) string {
	if l.GoneBy == "" {
		return "-"
	}
	return fmt.Sprintf("up to %d by %s", l.GoneEpoch, l.GoneBy)
}

// DeclareGone declares to the home cell, whose controllers have the given addresses, that another cell is permanently
// gone and has ended every job granted to it. The parameter by is the name of the operator who confirms this. The home
// cell's controllers are called in turn until the leader has recorded the declaration.
func DeclareGone(ctx context.Context, addresses []string, cell, by string) error {
	query := url.Values{"cell": {cell}, "by": {by}}.Encode()
	var failures []error
	for _, address := range addresses {
		_, err := statusclient.SendRequest(ctx, http.MethodPost, "http://"+address+cells.GonePath+"?"+query)
		if err == nil {
			return nil
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}
