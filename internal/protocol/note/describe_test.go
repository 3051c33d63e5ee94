package note

import (
	"os"
	"slices"
	"testing"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const noteWithEveryKey = validNote + `[[set.customer]]
id = "minor"
weight = 1
[[add.service]]
id = "sheets"
customer = "minor"
protocol = "udp"
address = "198.51.100.2:443"
way = "hash"
idle_timeout = "10s"
[[change.service]]
id = "proofs"
way = "owner"
idle_timeout = "10s"
[[add.target]]
id = "sheet-1"
service = "sheets"
domain = "lima-d"
address = "192.0.2.2:6080"
weight = 2
slots = 2
connections = 10
[[change.target]]
id = "proof-1"
weight = 2
slots = 2
connections = 10
[[withdraw.domain]]
id = "lima-b"
[[withdraw.customer]]
id = "former"
[[withdraw.service]]
id = "old"
`

// dottedKeys returns the dotted keys of a decoded document, sorted and without
// duplicates. [] marks an array of tables.
func dottedKeys(path string, value any) []string {
	var keys []string
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			if path != "" {
				key = path + "." + key
			}
			keys = append(keys, dottedKeys(key, inner)...)
		}
	case []any:
		if len(value) > 0 {
			if _, tables := value[0].(map[string]any); !tables {
				return []string{path}
			}
		}
		for _, inner := range value {
			keys = append(keys, dottedKeys(path+"[]", inner)...)
		}
	default:
		return []string{path}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// A key must not be missing from Describe or from the decoder: Decode accepts
// noteWithEveryKey, and Describe lists exactly its keys.
func TestEveryKeyIsDescribedAndDecoded(t *testing.T) {
	_, issues := Decode([]byte(noteWithEveryKey))
	require.Empty(t, issues)
	var document map[string]any
	require.NoError(t, toml.Unmarshal([]byte(noteWithEveryKey), &document))
	described := make([]string, 0)
	for _, key := range Describe() {
		described = append(described, key.Name)
	}
	require.ElementsMatch(t, described, dottedKeys("", document))
}

func TestDocumentationListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/release-notes.md")
	require.NoError(t, err)
	require.Contains(t, string(page), tomldoc.MarkdownTable(Describe()))
}
