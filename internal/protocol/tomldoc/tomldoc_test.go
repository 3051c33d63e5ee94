package tomldoc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sample = `id = "x y"
count = 99
[host]
packets = "localhost:1"
wait = "1h"
colour = "red"
[[peer]]
id = "a"
[[peer]]
id = 7
`

func TestFinishReportsEveryIssueWithItsLine(t *testing.T) {
	root, issues := Parse([]byte(sample))
	require.Empty(t, issues)
	root.Name("id")
	require.Equal(t, int64(5), root.Integer("count", 5, 1, 10))
	host := root.Subtable("host")
	host.AddrPort("packets")
	host.AddrPort("relay")
	require.Equal(t, time.Second, host.Duration("wait", time.Second, time.Second, time.Minute))
	for _, peer := range root.TableArray("peer") {
		peer.Name("id")
	}
	got := root.Finish()
	want := []Issue{{Line: 1, Key: "id"}, {Line: 2, Key: "count"}, {Line: 3, Key: "host.relay"},
		{Line: 4, Key: "host.packets"}, {Line: 5, Key: "host.wait"}, {Line: 6, Key: "host.colour"},
		{Line: 10, Key: "peer[1].id"}}
	require.Len(t, got, len(want))
	for i, issue := range got {
		require.Equal(t, want[i].Line, issue.Line, issue.String())
		require.Equal(t, want[i].Key, issue.Key)
		require.NotEmpty(t, issue.Message)
	}
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	root, issues := Parse([]byte("a = 1\nb = = 2\n"))
	require.Nil(t, root)
	require.Len(t, issues, 1)
	require.Equal(t, 2, issues[0].Line)
}

func TestWrongValueTypesAreReported(t *testing.T) {
	root, _ := Parse([]byte("host = 1\npeer = 2\nnames = [\"a\", 3]\nflag = \"yes\"\nmode = \"z\"\n"))
	root.Subtable("host")
	require.Empty(t, root.TableArray("peer"))
	require.Equal(t, []string{"a"}, root.Names("names"))
	require.True(t, root.Bool("flag", true))
	require.Equal(t, "x", root.OneOf("mode", "x", "x", "y"))
	require.Len(t, root.Finish(), 5)
}

func TestIssuesInInlineTablesHaveTheirLine(t *testing.T) {
	root, issues := Parse([]byte("peer = [\n  {id = \"a\"},\n  {id = 7, port = 1},\n  {},\n]\n"))
	require.Empty(t, issues)
	for _, peer := range root.TableArray("peer") {
		peer.Name("id")
	}
	got := root.Finish()
	require.Len(t, got, 3)
	require.Equal(t, Issue{Line: 1, Key: "peer[2].id", Message: got[0].Message}, got[0])
	require.Equal(t, Issue{Line: 3, Key: "peer[1].id", Message: got[1].Message}, got[1])
	require.Equal(t, Issue{Line: 3, Key: "peer[1].port", Message: got[2].Message}, got[2])
}
