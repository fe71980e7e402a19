// Package statusview shows operators what the leader tells: in a terminal, renewed while it is open,
// elsewhere as plain lines. It only reads.
package statusview

import (
	"context"
	"fmt"
	"io"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"pumicefront/statusclient"
)

// View is a way to show one kind of status.
type View[S statusclient.Status] struct {
	Path   string         // where controllers tell it
	Render func(S) string // its lines of text
}

// Fetch asks controllers, one after the other, until one that leads answers.
func (v View[S]) Fetch(ctx context.Context, addresses []string) (S, error) {
	return statusclient.Fetch[S](ctx, addresses, v.Path)
}

// Print writes the status once.
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

// Watch shows the status until its user ends it, and asks again after every interval.
func (v View[S]) Watch(ctx context.Context, addresses []string, interval time.Duration, options ...tea.ProgramOption) error {
	shown := model[S]{view: v, ctx: ctx, addresses: addresses, interval: interval}
	if _, err := tea.NewProgram(shown, append(options, tea.WithContext(ctx))...).Run(); err != nil {
		return fmt.Errorf("show status: %w", err)
	}
	return nil
}

// model is the state of a view in a terminal, as bubbletea wants it.
type model[S statusclient.Status] struct {
	view        View[S]
	ctx         context.Context
	addresses   []string
	interval    time.Duration
	status      S
	err         error
	fetchedOnce bool
}

// fetchResult is an answer, or why there is none.
type fetchResult[S statusclient.Status] struct {
	status S
	err    error
}

// refreshTick tells that it is time to ask again.
type refreshTick struct{}

// Init asks for the first time.
func (m model[S]) Init() tea.Cmd { return m.fetch }

func (m model[S]) fetch() tea.Msg {
	status, err := m.view.Fetch(m.ctx, m.addresses)
	return fetchResult[S]{status, err}
}

// Update handles keys and answers.
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

// View draws what is known. After a failure that is the last answer, and why there is no newer one.
func (m model[S]) View() string {
	text := "asking…\n"
	if m.fetchedOnce {
		text = ""
		if m.status.AnsweredBy() != "" {
			text = m.view.Render(m.status)
		}
		if m.err != nil {
			text += fmt.Sprintf("\nno newer status: %v\n", m.err)
		}
	}
	return text + "\nq ends\n"
}
