package scenarios

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// shellBlocks returns the fenced sh blocks of a Markdown page.
func shellBlocks(page string) []string {
	var found []string
	for _, part := range strings.Split(page, "```sh\n")[1:] {
		block, _, _ := strings.Cut(part, "```")
		found = append(found, block)
	}
	return found
}

// TestQuickstartCommandsRun guards against commands in docs/quickstart.md that don't
// work as printed. It runs them in one shell, except for the first block, which builds
// the programs: TestMain has built them.
func TestQuickstartCommandsRun(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile("../../docs/quickstart.md")
	require.NoError(t, err)
	commands := shellBlocks(string(page))
	require.Greater(t, len(commands), 2)
	script := "set -euo pipefail\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n" + strings.Join(commands[1:], "\n")
	shell := exec.Command("bash", "-c", script)
	shell.Dir = t.TempDir()
	shell.Env = append(os.Environ(), "PATH="+programDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	output, err := shell.CombinedOutput()
	require.NoError(t, err, string(output))
	for _, line := range []string{"first  in force", "drain-feed-2  in force", "deposits"} {
		require.Contains(t, string(output), line)
	}
}
