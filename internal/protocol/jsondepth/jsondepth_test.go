package jsondepth

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPruneReplacesOnlyWhatIsTooDeep(t *testing.T) {
	for doc, expected := range map[string]string{
		`{"a":[1,{"b":2}],"c":"[[[["}`:       `{"a":[1,` + Placeholder + `],"c":"[[[["}`,
		`[[[]],[[1],[2]],"\"[[["]`:           `[[` + Placeholder + `],[` + Placeholder + `,` + Placeholder + `],"\"[[["]`,
		`{"a":{"b":{"c":{"d":1}}},"e":[{}]}`: `{"a":{"b":` + Placeholder + `},"e":[` + Placeholder + `]}`,
	} {
		pruned, found := Prune([]byte(doc), 2)
		require.True(t, found)
		require.Equal(t, expected, string(pruned))
		require.True(t, HasPlaceholder(pruned))
	}
	for _, doc := range []string{``, `1`, `[[1],{}]`, `"[[[[[["`, `[[`, `]]]`, `"\`} {
		pruned, found := Prune([]byte(doc), 2)
		require.False(t, found)
		require.Equal(t, doc, string(pruned))
	}
}

// An answer that broke off must not become a whole one.
func TestPrunedDocumentStaysIncomplete(t *testing.T) {
	doc := `{"items":[` + strings.Repeat(`[{"a":`, 50) + `1` + strings.Repeat(`}]`, 50) + `],"more":[true]}`
	for end := range len(doc) {
		pruned, _ := Prune([]byte(doc[:end]), 8)
		require.False(t, json.Valid(pruned), "%s", pruned)
	}
	pruned, found := Prune([]byte(doc), 8)
	require.True(t, found)
	require.True(t, json.Valid(pruned))
}

// FuzzPrune checks that a valid document stays valid and keeps what is not too deep.
func FuzzPrune(f *testing.F) {
	f.Add(`{"a":[1,{"b":[2,"]"]}]}`)
	f.Add(`[[[[]]]]`)
	f.Fuzz(func(t *testing.T, doc string) {
		pruned, found := Prune([]byte(doc), 3)
		require.LessOrEqual(t, len(pruned), len(doc)*len(Placeholder))
		if !found {
			require.Equal(t, doc, string(pruned))
		}
		if json.Valid([]byte(doc)) {
			require.True(t, json.Valid(pruned), "%s becomes %s", doc, pruned)
			_, again := Prune(pruned, 3)
			require.False(t, again)
		}
	})
}
