// Package spreadview displays the state of load spreading to operators: machines by load, the hot machines
// and the reasons why their tasks are not moved, and the active moves.
package spreadview

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"pumicefront/balance"
	"pumicefront/statusview"
)

// View displays the state of load spreading.
var View = statusview.View[balance.Status]{Path: balance.StatusPath, Render: Render}

// maxListedMachines is the number of machines after which only hot ones are listed.
const maxListedMachines = 20

// Render formats a status as lines of text.
func Render(s balance.Status) string {
	var out strings.Builder
	if !s.Leading {
		fmt.Fprintf(&out, "%s does not lead; its leader is %q\n", s.Member, s.Leader)
		return out.String()
	}
	d := s.Distribution
	fmt.Fprintf(&out, "leader %s, %d machines: mean share %.2f, variation %.2f, maximum %.2f times the mean; hot above %.2f\n",
		s.Member, d.Machines, d.Mean, d.Variation, d.Maximum, s.HotShare)
	if s.Block != balance.NotBlocked {
		fmt.Fprintf(&out, "no moves are begun: %s\n", s.Block)
	}
	fmt.Fprintf(&out, "moves: %d begun%s; held room given up:%s\n\n", s.Counts.Started, formatCounts(s.Counts.Outcomes), formatCounts(s.Counts.Releases))
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	writeMachines(table, s)
	writeTeams(table, s.Teams)
	writeImages(table, s.Images)
	writeMoves(table, s.Moves)
	if err := table.Flush(); err != nil {
		return err.Error()
	}
	return out.String()
}

func writeMachines(table *tabwriter.Writer, s balance.Status) {
	fmt.Fprintln(table, "MACHINE\tZONE\tSHARE\tHOT\tTASKS\tMOVABLE\tSTAYING")
	omitted := s.Others
	for i, m := range s.Machines {
		if !m.Hot && i >= maxListedMachines {
			omitted++
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%s\t%d\t%s\t%s\n", m.ID, m.Zone, m.Share, yesOrDash(m.Hot), m.Tasks, movableText(m), stayingText(m))
	}
	if omitted > 0 {
		fmt.Fprintf(table, "and %d more\n", omitted)
	}
}

func writeTeams(table *tabwriter.Writer, teams []balance.TeamStatus) {
	fmt.Fprintln(table, "\nTEAM\tSIZE\tMACHINES\tMOST ON ONE\tON HOT ONES\tHOT")
	for _, t := range teams {
		fmt.Fprintf(table, "%s\t%.0f\t%d\t%.0f%%\t%.0f%%\t%s\n", t.Team, t.Size, t.Machines, 100*t.OnOne, 100*t.OnHot, yesOrDash(t.Hot))
	}
}

// writeImages lists the images that are present on hot machines only.
func writeImages(table *tabwriter.Writer, images []balance.ImageStatus) {
	if len(images) == 0 {
		return
	}
	fmt.Fprintln(table, "\nIMAGE ON HOT MACHINES ALONE\tMACHINES\tTASKS")
	for _, i := range images {
		fmt.Fprintf(table, "%s\t%d\t%d\n", i.Image, i.Machines, i.Tasks)
	}
}

func writeMoves(table *tabwriter.Writer, moves []balance.MoveStatus) {
	fmt.Fprintln(table, "\nMOVE\tFROM\tTO\tPHASE\tROOM HELD\tFOR")
	for _, m := range moves {
		fmt.Fprintf(table, "%s/%d\t%s\t%s\t%s\t%s\t%.0f s\n", m.Job, m.Task, m.From, m.To, m.Phase, yesOrDash(m.Reserved), m.ForS)
	}
}

func yesOrDash(is bool) string {
	if is {
		return "yes"
	}
	return "-"
}

// movableText returns how many tasks of a hot machine may be moved, or "-" for other machines.
func movableText(m balance.MachineStatus) string {
	if !m.Hot {
		return "-"
	}
	return fmt.Sprint(m.Movable)
}

// stayingText returns how many tasks are not movable, by reason.
func stayingText(m balance.MachineStatus) string {
	var parts []string
	for _, c := range m.Staying {
		parts = append(parts, fmt.Sprintf("%d %s", c.Tasks, c.Reason))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, "; ")
}
