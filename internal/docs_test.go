package internal_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var markdownLink = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)

// pages returns the Markdown pages of the repository.
func pages(t *testing.T) []string {
	found := []string{"../README.md", "../CONTRIBUTING.md"}
	for _, pattern := range []string{"../docs/*.md", "../docs/*/*.md"} {
		matches, err := filepath.Glob(pattern)
		require.NoError(t, err)
		found = append(found, matches...)
	}
	return found
}

func TestMarkdownLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, link := range markdownLink.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(link[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			require.NoError(t, err, "in "+page)
		}
	}
}

func TestDocsIndexLinksEveryPage(t *testing.T) {
	index, err := os.ReadFile("../docs/README.md")
	require.NoError(t, err)
	for _, page := range pages(t)[2:] {
		name, err := filepath.Rel("../docs", page)
		require.NoError(t, err)
		if name != "README.md" {
			require.Contains(t, string(index), "]("+name+")")
		}
	}
}
