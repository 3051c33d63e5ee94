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
			table = element(path, counts[path])
			counts[path]++
			index[table] = line
		case unstable.KeyValue:
			index[join(table, path)] = line
		}
	}
	return index
}

// keyPath returns the dotted key of an expression and its line.
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

func element(path string, index int) string {
	return path + "[" + strconv.Itoa(index) + "]"
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
