// Package zoneview shows operators the state of the zones: in a terminal, renewed while it is open,
// elsewhere as plain lines. It only reads.
package zoneview

import (
	"context"
	"fmt"
	"io"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"pumicefront/statusclient"
	"pumicefront/zones"
)

// Fetch asks controllers, one after the other, until one that leads answers.
func Fetch(ctx context.Context, addresses []string) (zones.Status, error) {
	return statusclient.Fetch[zones.Status](ctx, addresses, zones.StatusPath)
}

// Print writes the status once.
func Print(ctx context.Context, out io.Writer, addresses []string) error {
	status, err := Fetch(ctx, addresses)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(out, Render(status)); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	return nil
}

// Watch shows the status until its user ends it, and asks again after every interval.
func Watch(ctx context.Context, addresses []string, interval time.Duration, options ...tea.ProgramOption) error {
	view := model{ctx: ctx, addresses: addresses, interval: interval}
	if _, err := tea.NewProgram(view, append(options, tea.WithContext(ctx))...).Run(); err != nil {
		return fmt.Errorf("show zones: %w", err)
	}
	return nil
}

// model is the state of the view, as bubbletea wants it.
type model struct {
	ctx       context.Context
	addresses []string
	interval  time.Duration
	status    zones.Status
	err       error
	asked     bool
}

// fetched is an answer, or why there is none.
type fetched struct {
	status zones.Status
	err    error
}

// due tells that it is time to ask again.
type due struct{}

// Init asks for the first time.
func (m model) Init() tea.Cmd { return m.fetch }

func (m model) fetch() tea.Msg {
	status, err := Fetch(m.ctx, m.addresses)
	return fetched{status, err}
}

// Update handles keys and answers.
func (m model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			return m, tea.Quit
		}
	case fetched:
		m.asked, m.err = true, msg.err
		if msg.err == nil {
			m.status = msg.status
		}
		return m, tea.Tick(m.interval, func(time.Time) tea.Msg { return due{} })
	case due:
		return m, m.fetch
	}
	return m, nil
}

// View draws what is known. After a failure that is the last answer, and why there is no newer one.
func (m model) View() string {
	text := "asking…\n"
	if m.asked {
		text = ""
		if m.status.Member != "" {
			text = Render(m.status)
		}
		if m.err != nil {
			text += fmt.Sprintf("\nno newer status: %v\n", m.err)
		}
	}
	return text + "\nq ends\n"
}
