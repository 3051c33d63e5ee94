package tomldoc

import (
	"fmt"
	"strings"
)

// Key describes one key of a kind of document.
type Key struct {
	// Name is the dotted key; [] marks an array of tables.
	Name string
	// Form is the unit or form of the value.
	Form string
	// Default is empty for required keys.
	Default string
	// Range is what is allowed.
	Range string
	// Meaning is one sentence.
	Meaning string
}

// What a table says in place of a default value.
const (
	// Required stands for the default of a key that must be there.
	Required = "required"
	// Unchanged is the default of a key that changes something.
	Unchanged = "unchanged"
	// None is the default of a key that lists something.
	None = "none"
)

// NameRange is the Key.Range of identities, as Table.Name reads them.
const NameRange = "1 to 63 letters, digits, `-`, `_` or `.`"

// InclusiveRange returns a range with both ends as Key.Range.
func InclusiveRange[T any](low, high T) string {
	return fmt.Sprintf("%v to %v", low, high)
}

// defaultText returns what a table says of the default.
func (k Key) defaultText() string {
	switch k.Default {
	case "":
		return Required
	case Unchanged, None:
		return k.Default
	default:
		return "`" + k.Default + "`"
	}
}

// MarkdownTable returns the keys as a Markdown table, one key a line.
func MarkdownTable(keys []Key) string {
	var text strings.Builder
	text.WriteString("| key | form | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, key := range keys {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Form, key.defaultText(), key.Range, key.Meaning)
	}
	return text.String()
}
