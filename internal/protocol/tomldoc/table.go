package tomldoc

import (
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// document holds the state that all tables of one document share.
type document struct {
	lines  lineIndex
	issues Issues
}

// Table is one table of a document. A method that finds a value missing or not
// allowed records an issue and returns the zero value or the default.
type Table struct {
	doc      *document
	path     string
	values   map[string]any
	readKeys map[string]bool
	children []*Table
}

// Parse returns the root table of a document. If the document has a syntax
// error, that is the only issue and the table is nil.
func Parse(data []byte) (*Table, Issues) {
	if issues := checkNesting(data); len(issues) > 0 {
		return nil, issues
	}
	values := make(map[string]any)
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, Issues{newSyntaxIssue(err)}
	}
	doc := &document{lines: indexLines(data)}
	return newTable(doc, "", values), nil
}

// Read parses a document and returns the value that read builds from its root
// table. The value is valid only if there are no issues; all issues of the
// document are returned.
func Read[T any](data []byte, read func(root *Table) T) (T, Issues) {
	root, issues := Parse(data)
	if len(issues) > 0 {
		var zero T
		return zero, issues
	}
	value := read(root)
	return value, root.Finish()
}

func newSyntaxIssue(err error) Issue {
	issue := Issue{Key: "document", Message: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		issue.Line, _ = decode.Position()
	}
	return issue
}

func newTable(doc *document, path string, values map[string]any) *Table {
	return &Table{doc: doc, path: path, values: values, readKeys: make(map[string]bool)}
}

// Finish records an issue for each key that was never read, in this table and
// in the tables below it, and returns all issues of the document.
func (t *Table) Finish() Issues {
	t.reportUnread()
	t.doc.issues.sort()
	return t.doc.issues
}

func (t *Table) reportUnread() {
	for key := range t.values {
		if !t.readKeys[key] {
			t.Report(key, "is not a known key")
		}
	}
	for _, table := range t.children {
		table.reportUnread()
	}
}

// Report records an issue about a key of this table.
func (t *Table) Report(key, message string) {
	path := joinPath(t.path, key)
	t.doc.issues = append(t.doc.issues, Issue{Line: t.line(key), Key: path, Message: message})
}

// line returns the line of the key, or of the first table in the array of
// tables at the key, or else of this table.
func (t *Table) line(key string) int {
	path := joinPath(t.path, key)
	if line, known := t.doc.lines[path]; known {
		return line
	}
	if line, known := t.doc.lines[path+"[0]"]; known {
		return line
	}
	return t.doc.lines[t.path]
}

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, present := t.values[key]
	return present
}

// Subtable returns the table at the key, or an empty table if there is none.
func (t *Table) Subtable(key string) *Table {
	t.readKeys[key] = true
	value, present := t.values[key]
	values, ok := value.(map[string]any)
	if present && !ok {
		t.Report(key, "must be a table")
	}
	return t.child(joinPath(t.path, key), values)
}

// TableArray returns the tables of the array of tables at the key, in document order.
func (t *Table) TableArray(key string) []*Table {
	t.readKeys[key] = true
	value, present := t.values[key]
	items, ok := value.([]any)
	if present && !ok {
		t.Report(key, "must be an array of tables, written [["+joinPath(t.path, key)+"]]")
	}
	tables := make([]*Table, 0, len(items))
	for i, item := range items {
		values, ok := item.(map[string]any)
		if !ok {
			t.Report(key, "must contain only tables")
			continue
		}
		tables = append(tables, t.child(elementPath(joinPath(t.path, key), i), values))
	}
	return tables
}

func (t *Table) child(path string, values map[string]any) *Table {
	child := newTable(t.doc, path, values)
	t.children = append(t.children, child)
	return child
}

// readValue returns the raw value of a key, if present, and marks the key as
// read. It records an issue if a required key is missing.
func (t *Table) readValue(key string, required bool, allowed string) (any, bool) {
	t.readKeys[key] = true
	value, present := t.values[key]
	if !present && required {
		t.Report(key, "is missing; allowed: "+allowed)
	}
	return value, present
}

// Keys returns the keys present in the table, sorted.
func (t *Table) Keys() []string {
	keys := make([]string, 0, len(t.values))
	for key := range t.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
