package tomldoc

import (
	"fmt"
	"strings"
)

// Key documents one key of a document format.
type Key struct {
	// Name is the dotted key; [] marks an array of tables.
	Name string
	// Form is the type or unit of the value.
	Form string
	// Default is the default value; empty for required keys.
	Default string
	// Range describes the allowed values.
	Range string
	// Meaning describes the key for users.
	Meaning string
}

// Texts of the default column for keys without a default value.
const (
	// Required marks a key that must be present.
	Required = "required"
	// Unchanged marks an optional key of a change; without it the value stays.
	Unchanged = "unchanged"
	// None marks an optional list that is empty by default.
	None = "none"
)

// NameRange is the Key.Range of a name that Table.Name accepts.
const NameRange = "1 to 63 letters, digits, `-`, `_` or `.`"

// InclusiveRange returns the Key.Range of values from low to high, both included.
func InclusiveRange[T any](low, high T) string {
	return fmt.Sprintf("%v to %v", low, high)
}

// defaultText returns the text of the default column.
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

// MarkdownTable returns the keys as a Markdown table, one row per key.
func MarkdownTable(keys []Key) string {
	var text strings.Builder
	text.WriteString("| key | form | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, key := range keys {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Form, key.defaultText(), key.Range, key.Meaning)
	}
	return text.String()
}
