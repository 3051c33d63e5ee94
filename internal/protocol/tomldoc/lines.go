package tomldoc

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps dotted key paths to line numbers.
type lineIndex map[string]int

// indexLines finds the line of each table and key of a well-formed document.
func indexLines(data []byte) lineIndex {
	index := make(lineIndex)
	counts := make(map[string]int)
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyPath(&parser, node)
		switch node.Kind {
		case unstable.Table:
			table = path
			index[table] = line
		case unstable.ArrayTable:
			table = elementPath(path, counts[path])
			counts[path]++
			index[table] = line
		case unstable.KeyValue:
			index[joinPath(table, path)] = line
			index.addValue(&parser, joinPath(table, path), node.Value())
		}
	}
	return index
}

// addValue records the lines of the keys inside an inline table or an array.
func (l lineIndex) addValue(parser *unstable.Parser, path string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			l.addMember(parser, path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			l.addElement(parser, path, i, children.Node())
		}
	}
}

// addElement records the lines of one element of an array. An element without
// keys gets the line of the array.
func (l lineIndex) addElement(parser *unstable.Parser, array string, index int, value *unstable.Node) {
	path := elementPath(array, index)
	l.addValue(parser, path, value)
	if _, known := l[path]; !known {
		l[path] = l[array]
	}
}

// addMember records the line of one key of an inline table and of the keys in
// its value. The table itself gets the line of its first key.
func (l lineIndex) addMember(parser *unstable.Parser, table string, member *unstable.Node) {
	key, line := keyPath(parser, member)
	if _, known := l[table]; !known {
		l[table] = line
	}
	l[joinPath(table, key)] = line
	l.addValue(parser, joinPath(table, key), member.Value())
}

// keyPath returns the dotted key of an expression and the line it starts on.
func keyPath(parser *unstable.Parser, node *unstable.Node) (string, int) {
	parts := []string{}
	line := 0
	keys := node.Key()
	for keys.Next() {
		key := keys.Node()
		if line == 0 {
			line = parser.Shape(key.Raw).Start.Line
		}
		parts = append(parts, string(key.Data))
	}
	return strings.Join(parts, "."), line
}

func elementPath(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
