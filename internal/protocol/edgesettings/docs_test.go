package edgesettings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
)

func TestDocumentationListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/configuration.md")
	require.NoError(t, err)
	require.Contains(t, string(page), tomldoc.MarkdownTable(Describe()))
}

func TestParseReportsMissingRequiredKeys(t *testing.T) {
	_, issues := Parse(nil)
	var got, want []string
	for _, issue := range issues {
		got = append(got, issue.Key)
	}
	for _, key := range Describe() {
		if key.Default == "" {
			want = append(want, key.Name)
		}
	}
	require.ElementsMatch(t, want, got)
}

// The example in the guavaedge section of the documentation must parse without
// issues.
func TestDocumentationExampleIsValid(t *testing.T) {
	page, err := os.ReadFile("../../../docs/configuration.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "# Settings of guavaedge")
	require.True(t, found)
	_, rest, found := strings.Cut(section, "```toml\n")
	require.True(t, found)
	example, _, found := strings.Cut(rest, "```")
	require.True(t, found)
	_, issues := Parse([]byte(example))
	require.Empty(t, issues)
}
