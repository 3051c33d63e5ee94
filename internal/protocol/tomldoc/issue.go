// Package tomldoc reads TOML documents key by key and collects every error
// with its line, so that an author sees all of them at once. Keys that are
// never read are errors.
package tomldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Issue is one error in a document.
type Issue struct {
	// Line counts from 1; 0 means the document as a whole.
	Line int
	// Key is the dotted path of the key, as "host.packets".
	Key string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the issue as one line.
func (i Issue) String() string {
	return fmt.Sprintf("line %d: %s: %s", i.Line, i.Key, i.Message)
}

// Issues is every error in a document, in the order of the lines.
type Issues []Issue

// Error returns one issue a line.
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
