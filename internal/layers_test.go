package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const modulePrefix = "github.com/guavawharf/guavawharf/internal/"

// layerRank is the rank of each layer. A file may import its own layer and lower ones.
// Directories that are not listed connect the layers and may import all packages.
var layerRank = map[string]int{
	"state":        1,
	"coordination": 2,
	"protocol":     3,
	"transport":    4,
}

func layerOf(path string) string {
	return strings.Split(filepath.ToSlash(path), "/")[0]
}

// importsOf returns the packages under internal that a file imports.
func importsOf(t *testing.T, path string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	require.NoError(t, err)
	var paths []string
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		require.NoError(t, err)
		if inner, ok := strings.CutPrefix(name, modulePrefix); ok {
			paths = append(paths, inner)
		}
	}
	return paths
}

func TestLayersImportOnlyLowerLayers(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		rank, layered := layerRank[layerOf(path)]
		if err != nil || entry.IsDir() || !layered || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, imported := range importsOf(t, path) {
			checked++
			other, known := layerRank[layerOf(imported)]
			require.True(t, known && other <= rank, "%s imports %s", path, imported)
		}
		return nil
	})
	require.NoError(t, err)
	require.NotZero(t, checked)
}

// forbiddenImports are packages that the decision core (state and coordination) must not
// import.
var forbiddenImports = []string{"net", "net/http", "net/rpc", "os", "sync", "syscall", "log/slog", "math/rand"}

// impureCalls are functions, by package, that read a clock, wait, or use a shared
// random source.
var impureCalls = map[string][]string{
	"time": {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
	"rand": {"Int", "IntN", "Int64N", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N"},
}

func TestDecisionCoreHasNoSideEffects(t *testing.T) {
	for _, root := range []string{"state", "coordination"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			requireNoSideEffects(t, path)
			return nil
		})
		require.NoError(t, err)
	}
}

func requireNoSideEffects(t *testing.T, path string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		require.NotContains(t, forbiddenImports, name, path)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		_, starts := node.(*ast.GoStmt)
		require.False(t, starts, "%s starts a goroutine", path)
		call, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := call.X.(*ast.Ident); ok {
			require.NotContains(t, impureCalls[name.Name], call.Sel.Name, path)
		}
		return true
	})
}
