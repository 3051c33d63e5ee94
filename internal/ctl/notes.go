package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/guavawharf/guavawharf/internal/protocol/note"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/samber/oops"
)

// loadNote reads and decodes the note file. If the note is nil, the command must
// end with the returned exit code.
func (c *Command) loadNote() (*state.Note, int) {
	data, err := os.ReadFile(c.options.NoteFile)
	if err != nil {
		return nil, c.failUsage(err.Error())
	}
	decoded, issues := note.Decode(data)
	if len(issues) > 0 {
		fmt.Fprintln(c.errOut, issues.Error())
		return nil, ExitUsage
	}
	return decoded, ExitInForce
}

// check validates the note against the newest release without submitting it.
func (c *Command) check(ctx context.Context) int {
	decoded, code := c.loadNote()
	if decoded == nil {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	release, err := c.store.Release(ctx)
	if err != nil {
		return c.failUnknown(err)
	}
	next, problems := state.Apply(release, decoded)
	for _, problem := range problems {
		fmt.Fprintln(c.errOut, problem.String())
	}
	if len(problems) > 0 {
		return ExitRefused
	}
	fmt.Fprintf(c.out, "note %s can make release %d\n", decoded.ID, next.Version)
	return ExitInForce
}

// apply submits the note and waits for its outcome.
func (c *Command) apply(ctx context.Context) int {
	decoded, code := c.loadNote()
	if decoded == nil {
		return code
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Wait)
	defer cancel()
	store := NewStore(retryingPlatform{c.store.platform})
	err := store.Submit(ctx, decoded, c.now())
	if isNoteIDTaken(err) {
		fmt.Fprintln(c.errOut, "guavactl: "+err.Error())
		return ExitRefused
	}
	if err != nil {
		return c.failUnknown(err)
	}
	status, err := store.Wait(ctx, decoded.ID)
	if err != nil {
		fmt.Fprintln(c.errOut, "guavactl: "+err.Error())
	}
	if err := c.renderStatus(status); err != nil {
		return c.failUnknown(err)
	}
	return exitCode(status)
}

// isNoteIDTaken reports whether the note was not submitted because another note
// has its id.
func isNoteIDTaken(err error) bool {
	coded, ok := oops.AsOops(err)
	return ok && coded.Code() == CodeNoteIDTaken
}

func exitCode(status NoteStatus) int {
	switch status.State {
	case objects.NoteInForce:
		return ExitInForce
	case objects.NoteRefused:
		return ExitRefused
	default:
		return ExitUnknown
	}
}

// status prints the status of one note, or of all notes that the head lists.
func (c *Command) status(ctx context.Context) error {
	id := state.NoteID(c.options.NoteID)
	if id == "" {
		return c.statusAll(ctx)
	}
	status, err := c.store.Status(ctx, id)
	if err != nil {
		return err
	}
	return c.renderStatus(status)
}

func (c *Command) renderStatus(status NoteStatus) error {
	return c.renderStatuses([]NoteStatus{status}, status)
}

// renderStatuses prints the statuses as a table, or value as JSON.
func (c *Command) renderStatuses(statuses []NoteStatus, value any) error {
	table := Table{Header: []string{"NOTE", "STATE", "RELEASE", "DOMAIN", "STAGED", "RUNS", "SINCE", "AWAITED", "REASON"}}
	for _, status := range statuses {
		table.addStatusRows(status)
	}
	return render(c.out, c.options.Output, value, table)
}

// addStatusRows adds a row for each failure domain of a note, or a single row
// without a domain if the status has none.
func (t *Table) addStatusRows(status NoteStatus) {
	if len(status.Domains) == 0 {
		t.addRow(status.Note, status.State, status.Version, "", "", "", status.At, "", status.Reason)
	}
	for _, domain := range status.Domains {
		reason := domain.Reason
		if len(domain.Behind) > 0 {
			reason += " behind: " + joinIDs(domain.Behind)
		}
		t.addRow(status.Note, status.State, status.Version, domain.Domain,
			domain.Staged, domain.ReleaseInForce, domain.Since, domain.Awaited, reason)
	}
}

// statusAll prints every note that the head lists. The pending note and the
// note accepted last are shown for each failure domain, the others only with
// their outcome.
func (c *Command) statusAll(ctx context.Context) error {
	rows, err := c.store.History(ctx)
	if err != nil {
		return err
	}
	statuses := make([]NoteStatus, 0, len(rows))
	current := false
	for _, row := range rows {
		status := statusFromDecision(row)
		if row.State != objects.NoteRefused && !current {
			if status, err = c.store.Status(ctx, row.Note.ID); err != nil {
				return err
			}
			current = row.State == objects.NoteAccepted
		}
		statuses = append(statuses, status)
	}
	return c.renderStatuses(statuses, statuses)
}

// statusFromDecision returns the status of a note from its decision alone,
// without the failure domains.
func statusFromDecision(row objects.Decision) NoteStatus {
	return NoteStatus{
		Note:    row.Note.ID,
		State:   row.State,
		Version: row.Note.Version,
		Reason:  row.Reason,
		At:      row.At,
		Without: row.Without,
	}
}

func (c *Command) history(ctx context.Context) error {
	rows, err := c.store.History(ctx)
	if err != nil {
		return err
	}
	return c.renderHistory(rows)
}

func (c *Command) renderHistory(rows []objects.Decision) error {
	table := Table{Header: []string{"NOTE", "STATE", "RELEASE", "AT", "WITHOUT", "REASON"}}
	for _, row := range rows {
		table.addRow(row.Note.ID, row.State, row.Note.Version, row.At, joinIDs(row.Without), row.Reason)
	}
	return render(c.out, c.options.Output, rows, table)
}
