package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParse checks that accepted settings are complete and that every issue has
// a message and a valid line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[host]\nid = 7\n"))
	f.Add([]byte("[membership]\nseeds = [{id = \"a\"}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, issues := Parse(data)
		for _, issue := range issues {
			require.NotEmpty(t, issue.Message)
			require.GreaterOrEqual(t, issue.Line, 0)
		}
		if len(issues) > 0 {
			return
		}
		require.NotEmpty(t, settings.Host.ID)
		require.True(t, settings.Host.Packets.IsValid())
		require.True(t, settings.ReturnAddress.IsValid())
		require.Positive(t, settings.Traffic.Workers)
	})
}
