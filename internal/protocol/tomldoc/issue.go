// Package tomldoc reads TOML documents key by key and collects every error
// with its line, so that the author of a document sees all errors at once. A
// key that is never read is reported as unknown.
package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Issue is one error in a document.
type Issue struct {
	// Line is counted from 1. It is 0 if no line is known, for example for a key
	// that is missing together with its table.
	Line int
	// Key is the dotted path of the key, such as "host.packets".
	Key string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the issue as one line.
func (i Issue) String() string {
	return fmt.Sprintf("line %d: %s: %s", i.Line, i.Key, i.Message)
}

// Issues are the errors of a document, sorted by line.
type Issues []Issue

// Error returns the issues, one per line.
func (i Issues) Error() string {
	lines := make([]string, 0, len(i))
	for _, issue := range i {
		lines = append(lines, issue.String())
	}
	return strings.Join(lines, "\n")
}

func (i Issues) sort() {
	slices.SortStableFunc(i, func(x, y Issue) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Key, y.Key))
	})
}
