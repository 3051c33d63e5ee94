package tomldoc

import (
	"fmt"
	"strings"
)

// Key describes one key of a kind of document.
type Key struct {
	// Name is the dotted key; [] marks an array of tables.
	Name string
	// Unit is the unit or form of the value.
	Unit string
	// Default is empty for required keys.
	Default string
	// Range is what is allowed.
	Range string
	// Meaning is one sentence.
	Meaning string
}

// Required is the text for the default of a key that must be there.
const Required = "required"

// MarkdownTable returns the keys as a Markdown table, one key a line.
func MarkdownTable(keys []Key) string {
	var text strings.Builder
	text.WriteString("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, key := range keys {
		fallback := key.Default
		if fallback == "" {
			fallback = Required
		}
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Unit, fallback, key.Range, key.Meaning)
	}
	return text.String()
}
