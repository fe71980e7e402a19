package zoneview

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"pumicefront/zones"
)

// Render formats a status as lines of text.
func Render(s zones.Status) string {
	var out strings.Builder
	if !s.Leading {
		fmt.Fprintf(&out, "%s does not lead; %s\n", s.Member, leaderText(s.Leader))
		return out.String()
	}
	fmt.Fprintf(&out, "leader %s\n\n", s.Member)
	table := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tSTATE\tFOR\tMACHINES\tSILENT\tLOSSES\tHELD FOR\tSTARTS\tFETCHES\tDISPLACED")
	for _, z := range s.Zones {
		fmt.Fprintf(table, "%s\t%s\t%.0f s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\n",
			z.Name, z.State, z.ForS, z.Responsive+z.Silent, z.Silent, z.Losses, holdDownText(z), startsText(z), z.Fetching, z.Displaced)
	}
	fmt.Fprintln(table, "\nCLASS\tWAITING\tTEAM LIMIT\tZONE\tROOM")
	for _, c := range s.Waiting {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", c.Class, c.Tasks, c.TeamLimit, c.ZoneLimit, c.Room)
	}
	if err := table.Flush(); err != nil {
		return err.Error()
	}
	return out.String()
}

func leaderText(leader string) string {
	if leader == "" {
		return "it knows of no leader"
	}
	return "ask " + leader
}

// holdDownText returns how long the zone will still be held down, or "-" if it is not.
func holdDownText(z zones.ZoneStatus) string {
	if z.State != zones.HeldDown {
		return "-"
	}
	return fmt.Sprintf("%.0f s", z.HeldForS)
}

// startsText returns the number of starts in progress, and the concurrency limit for starts if there is one.
func startsText(z zones.ZoneStatus) string {
	if z.Window == 0 {
		return fmt.Sprint(z.StartsInProgress)
	}
	return fmt.Sprintf("%d of %d", z.StartsInProgress, z.Window)
}
