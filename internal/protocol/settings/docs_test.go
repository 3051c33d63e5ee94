package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/guavawharf/guavawharf/internal/protocol/tomldoc"
	"github.com/stretchr/testify/require"
)

const docsPath = "../../../docs/configuration.md"

func TestDocumentationListsEveryKey(t *testing.T) {
	page, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	require.Contains(t, string(page), tomldoc.MarkdownTable(Describe()))
}

func TestDocumentationExampleIsValid(t *testing.T) {
	page, err := os.ReadFile(docsPath)
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml\n")
	require.True(t, found)
	example, _, found := strings.Cut(rest, "```")
	require.True(t, found)
	_, issues := Parse([]byte(example))
	require.Empty(t, issues)
}

// The defaults that Parse applies to a file with only the required keys must be
// those that Describe documents.
func TestParseAppliesDescribedDefaults(t *testing.T) {
	settings, issues := Parse([]byte(requiredKeysOnly))
	require.Empty(t, issues)
	got := map[string]string{
		"platform.timeout":      settings.Platform.Timeout.String(),
		"traffic.workers":       fmt.Sprint(settings.Traffic.Workers),
		"traffic.max_flows":     fmt.Sprint(settings.Traffic.MaxFlows),
		"traffic.max_new_flows": fmt.Sprint(settings.Traffic.MaxNewFlows),
		"leave.deadline":        settings.LeaveDeadline.String(),
		"log.level":             strings.ToLower(settings.LogLevel.String()),
	}
	want := make(map[string]string)
	for _, key := range Describe() {
		if key.Default != "" {
			want[key.Name] = key.Default
		}
	}
	require.Equal(t, want, got)
}

// An empty file must be reported once for every required key.
func TestParseReportsMissingRequiredKeys(t *testing.T) {
	_, issues := Parse(nil)
	var got, want []string
	for _, issue := range issues {
		got = append(got, issue.Key)
	}
	for _, key := range Describe() {
		if key.Default == "" && !strings.Contains(key.Name, "[]") {
			want = append(want, key.Name)
		}
	}
	require.ElementsMatch(t, want, got)
}

const requiredKeysOnly = `
[host]
id = "a1"
domain = "a"
packets = "127.0.0.1:6080"
relay = "127.0.0.1:6081"
control = "127.0.0.1:6082"
metrics = "127.0.0.1:6083"
[fabric]
return = "127.0.0.1:7000"
[platform]
url = "http://127.0.0.1:8080"
`
