// Package statusview displays a status of the leader to operators: refreshed periodically in a terminal, or
// printed once as plain text. It is read-only.
package statusview

import (
	"context"
	"fmt"
	"io"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"pumicefront/statusclient"
)

// View displays one kind of status.
type View[S statusclient.Status] struct {
	Path   string         // URL path of the status endpoint
	Render func(S) string // formats a status as lines of text
}

// Fetch requests the status from each controller in turn, until the leader responds.
func (v View[S]) Fetch(ctx context.Context, addresses []string) (S, error) {
	return statusclient.Fetch[S](ctx, addresses, v.Path)
}

// Print fetches the status and writes it once.
func (v View[S]) Print(ctx context.Context, out io.Writer, addresses []string) error {
	status, err := v.Fetch(ctx, addresses)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(out, v.Render(status)); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	return nil
}

// Watch displays the status until the user quits, and fetches it again an interval after each response.
func (v View[S]) Watch(ctx context.Context, addresses []string, interval time.Duration, options ...tea.ProgramOption) error {
	shown := model[S]{view: v, ctx: ctx, addresses: addresses, interval: interval}
	if _, err := tea.NewProgram(shown, append(options, tea.WithContext(ctx))...).Run(); err != nil {
		return fmt.Errorf("show status: %w", err)
	}
	return nil
}

// model is the state of a view in a terminal; it implements tea.Model.
type model[S statusclient.Status] struct {
	view        View[S]
	ctx         context.Context
	addresses   []string
	interval    time.Duration
	status      S
	err         error
	fetchedOnce bool
}

// fetchResult is the message for a fetched status or the error of fetching it.
type fetchResult[S statusclient.Status] struct {
	status S
	err    error
}

// refreshTick is the message to fetch the status again.
type refreshTick struct{}

// Init fetches the status for the first time.
func (m model[S]) Init() tea.Cmd { return m.fetch }

func (m model[S]) fetch() tea.Msg {
	status, err := m.view.Fetch(m.ctx, m.addresses)
	return fetchResult[S]{status, err}
}

// Update handles key presses, fetched statuses and refresh ticks.
func (m model[S]) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			return m, tea.Quit
		}
	case fetchResult[S]:
		m.fetchedOnce, m.err = true, msg.err
		if msg.err == nil {
			m.status = msg.status
		}
		return m, tea.Tick(m.interval, func(time.Time) tea.Msg { return refreshTick{} })
	case refreshTick:
		return m, m.fetch
	}
	return m, nil
}

// View renders the last fetched status, followed by the error if the latest fetch failed.
func (m model[S]) View() string {
	text := "loading…\n"
	if m.fetchedOnce {
		text = ""
		if m.status.AnsweredBy() != "" {
			text = m.view.Render(m.status)
		}
		if m.err != nil {
			text += fmt.Sprintf("\nfailed to refresh status: %v\n", m.err)
		}
	}
	return text + "\npress q to quit\n"
}
