package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// oldCommit is the version that runs beside the one under test in TestSoakOfTwoBuilds.
var oldCommit = flag.String("soak.old", "44c6350", "commit whose guavaedge runs beside the one under test")

// mixedSeeds are the seeds of TestSoakOfTwoBuilds if the flags ask for none.
var mixedSeeds = []uint64{1, 2}

// buildCommit builds guavaedge as it was at a commit, or skips the test if the repository
// has no history.
func buildCommit(t *testing.T, commit string) (path string) {
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	export := exec.Command("git", "-C", "../..", "archive", "-o", archive, commit, "cmd", "internal", "platform", "go.mod", "go.sum")
	if output, err := export.CombinedOutput(); err != nil {
		t.Skipf("no source of %s: %v: %s", commit, err, output)
	}
	source := filepath.Join(dir, "source")
	require.NoError(t, os.Mkdir(source, 0o700))
	runIn(t, source, "tar", "-xf", archive)
	path = filepath.Join(dir, "guavaedge")
	runIn(t, source, "go", "build", "-o", path, "./cmd/guavaedge")
	return path
}

func runIn(t *testing.T, dir, name string, args ...string) {
	command := exec.Command(name, args...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	require.NoError(t, err, "%s: %s", name, output)
}

// During an upgrade, and on the way back, hosts of two builds run side by side. Half of the
// hosts start with the old build, and each restart of a host is one with the other build.
func TestSoakOfTwoBuilds(t *testing.T) {
	old := buildCommit(t, *oldCommit)
	run := seedsToRun()
	if *seeds == 0 {
		run = mixedSeeds
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			b := newTestbed(t, seed, guavaedgePath, old)
			b.run(*length)
			b.clearFaults()
			b.requireNoViolations()
			t.Logf("seed %d: %s", seed, b.summary())
		})
	}
}
