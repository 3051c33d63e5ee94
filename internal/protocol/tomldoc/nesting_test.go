package tomldoc

import (
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxParsingMemory is the memory of the smallest host in bytes.
const maxParsingMemory = 80 << 20

// Guards against documents, such as a release note, that take far more memory than their size
// because of their nesting. The largest release note has half a megabyte.
func TestDeeplyNestedDocumentIsRefused(t *testing.T) {
	const size = 1 << 19
	for name, document := range map[string]string{
		"dotted key":     "x = 1\n" + strings.Repeat("a.", size/2) + "a = 1",
		"table":          "x = 1\n[" + strings.Repeat("a.", size/2) + "a]",
		"array of table": "x = 1\n[[" + strings.Repeat("a.", size/2) + "a]]",
		"arrays":         "x = 1\na = " + strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		"inline tables":  "x = 1\na = " + strings.Repeat("{a=", 5000) + "1" + strings.Repeat("}", 5000),
		"inline key":     "x = 1\na = [{" + strings.Repeat("a.", size/2) + "a = 1}]",
	} {
		used := make(chan uint64)
		var issues Issues
		go func() {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, issues = Parse([]byte(document))
			runtime.ReadMemStats(&after)
			used <- after.StackInuse + after.TotalAlloc - before.StackInuse - before.TotalAlloc
		}()
		taken := <-used
		t.Logf("%s: %d KB", name, taken>>10)
		require.Len(t, issues, 1, name)
		require.Equal(t, 2, issues[0].Line, name)
		require.Contains(t, issues[0].Message, "nested", name)
		require.Less(t, taken, uint64(maxParsingMemory), name)
	}
	root, issues := Parse([]byte("a.b.c = 1\n[x.y]\nz = [[1], {q.r = 2}]\n"))
	require.Empty(t, issues)
	require.NotNil(t, root)
}
