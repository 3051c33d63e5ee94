package tomldoc

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxNesting is the number of levels of tables and arrays in a document, those of dotted
// keys included.
const maxNesting = 32

// checkNesting returns an issue for the first expression that is nested too deeply, which
// would take memory out of proportion to the document. Syntax errors are left to the
// decoder.
func checkNesting(data []byte) Issues {
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		if fits(node, maxNesting) {
			continue
		}
		keys := node.Key()
		keys.Next()
		line := parser.Shape(keys.Node().Raw).Start.Line
		return Issues{{Line: line, Key: "document", Message: fmt.Sprintf("nested more than %d levels deep", maxNesting)}}
	}
	return nil
}

// fits reports whether an expression or a value is nested at most limit levels deep.
func fits(node *unstable.Node, limit int) bool {
	switch node.Kind {
	case unstable.KeyValue:
		left := limit - keyParts(node, limit)
		return left >= 0 && fits(node.Value(), left)
	case unstable.Table, unstable.ArrayTable:
		return keyParts(node, limit) <= limit
	case unstable.Array, unstable.InlineTable:
		return limit > 0 && childrenFit(node, limit-1)
	}
	return true
}

func childrenFit(node *unstable.Node, limit int) bool {
	children := node.Children()
	for children.Next() {
		if !fits(children.Node(), limit) {
			return false
		}
	}
	return true
}

// keyParts returns the number of parts of a dotted key, counted to one more than limit.
func keyParts(node *unstable.Node, limit int) int {
	parts := 0
	keys := node.Key()
	for parts <= limit && keys.Next() {
		parts++
	}
	return parts
}
