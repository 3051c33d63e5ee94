package note

import (
	"testing"
	"time"

	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/stretchr/testify/require"
)

const validNote = `id = "feast-day"
base = 3
deadline = "20s"
without = ["lima-c"]
[[set.customer]]
id = "painter"
weight = 7
[[add.domain]]
id = "lima-d"
[[add.service]]
id = "feed"
customer = "painter"
address = "198.51.100.1:443"
way = "hash"
[[add.target]]
id = "feed-1"
service = "feed"
domain = "lima-d"
address = "192.0.2.1:6080"
slots = 3
[[change.target]]
id = "feed-2"
leaving = true
[[withdraw.target]]
id = "feed-3"
`

func TestDecodeValidNote(t *testing.T) {
	note, issues := Decode([]byte(validNote))
	require.Empty(t, issues)
	require.Equal(t, state.NoteID("feast-day"), note.ID)
	require.Equal(t, state.ReleaseVersion(3), note.Base)
	require.Equal(t, 20*time.Second, note.Deadline)
	require.Equal(t, []state.DomainID{"lima-c"}, note.Without)
	require.Equal(t, state.ForwardByHash, note.AddServices[0].Way)
	require.Equal(t, state.TCP, note.AddServices[0].Protocol)
	require.Equal(t, uint32(DefaultConnections), note.AddTargets[0].Connections)
	require.True(t, *note.ChangeTargets[0].Leaving)
	require.Nil(t, note.ChangeTargets[0].Weight)
	require.Equal(t, []state.TargetID{"feed-3"}, note.WithdrawTargets)
}

func TestDecodeReportsEveryIssue(t *testing.T) {
	const bad = "id = \"x\"\ndeadline = \"2h\"\ncolour = 1\n[[add.target]]\nid = \"t\"\nservice = \"s\"\ndomain = \"d\"\naddress = \"here\"\nweight = 0\n"
	note, issues := Decode([]byte(bad))
	require.Nil(t, note)
	keys := make([]string, 0, len(issues))
	for _, issue := range issues {
		keys = append(keys, issue.Key)
	}
	require.ElementsMatch(t, []string{"base", "deadline", "colour", "add.target[0].address", "add.target[0].weight"}, keys)
}

func TestDecodeRejectsNoteAboveMaxSize(t *testing.T) {
	_, issues := Decode(make([]byte, MaxSize+1))
	require.Len(t, issues, 1)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validNote))
	f.Add([]byte("id = 1\n[[add.domain]]\n[add]\n"))
	f.Add([]byte("add = 3\nwithdraw = [1]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		note, issues := Decode(data)
		if (note == nil) == (len(issues) == 0) {
			t.Fatalf("Decode must return either a note or issues: %v %v", note, issues)
		}
	})
}
