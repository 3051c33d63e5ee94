package ctl

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/rpcapi"
	"github.com/guavawharf/guavawharf/internal/state"
	"github.com/guavawharf/guavawharf/internal/state/objects"
	"github.com/stretchr/testify/require"
)

const firstNote = `id = "first"
base = 0
[[add.domain]]
id = "lima-a"
[[set.customer]]
id = "painter"
[[add.service]]
id = "feed"
customer = "painter"
address = "198.51.100.1:443"
[[add.target]]
id = "feed-1"
service = "feed"
domain = "lima-a"
address = "192.0.2.1:6080"
`

// run carries out one verb on the platform and returns its code and output.
func run(t *testing.T, platform Platform, options Options) (int, string, string) {
	t.Helper()
	var out, complaints bytes.Buffer
	options.PlatformURL = "fake"
	if options.Output == "" {
		options.Output = OutputTable
	}
	options.Timeout = time.Second
	command := NewCommand(options, platform, nil, &out, &complaints, time.Now)
	return command.Run(t.Context()), out.String(), complaints.String()
}

func noteFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "note.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func headOf(t *testing.T, platform Platform) objects.Head {
	head, _, err := NewStore(platform).Head(t.Context())
	require.NoError(t, err)
	return head
}

// accept decides the pending note as entry hosts would.
func accept(t *testing.T, platform *fakePlatform) {
	platform.set(objects.KeyHead, headOf(t, platform).Accept(time.Unix(1, 0)))
	platform.set(objects.PrefixInForce+"lima-a", objects.InForce{Domain: "lima-a", Version: headOf(t, platform).Version})
}

func TestApplyWaitsForTheOutcome(t *testing.T) {
	cases := []struct {
		name   string
		decide func(*testing.T, *fakePlatform)
		code   int
		word   string
	}{
		{"in force", accept, ExitInForce, "in force"},
		{"refused", func(t *testing.T, p *fakePlatform) {
			p.set(objects.KeyHead, headOf(t, p).Refuse("lima-a: too heavy", time.Unix(1, 0)))
		}, ExitRefused, "too heavy"},
		{"undecided", func(*testing.T, *fakePlatform) {}, ExitUnknown, "submitted"},
		{"accepted, not yet in force", func(t *testing.T, p *fakePlatform) {
			p.set(objects.KeyHead, headOf(t, p).Accept(time.Unix(1, 0)))
		}, ExitUnknown, "accepted"},
		{"platform lost", func(_ *testing.T, p *fakePlatform) { p.down = true }, ExitUnknown, "submitted"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := noteFile(t, firstNote)
			synctest.Test(t, func(t *testing.T) {
				platform := newFakePlatform()
				platform.due = time.Now().Add(time.Second)
				platform.event = func() { c.decide(t, platform) }
				code, out, _ := run(t, platform, Options{Verb: VerbApply, File: file, Wait: 3 * time.Second})
				require.Equal(t, c.code, code, out)
				require.Contains(t, out, c.word)
			})
		})
	}
}

// Beside load, apply ended with exit code 3 at once although it had been told to
// come back after 100 ms and had 30 s to wait.
func TestApplyComesBackWhenThePlatformRefusesACall(t *testing.T) {
	for _, c := range []struct{ refusing, code int }{{5, ExitInForce}, {1000, ExitUnknown}} {
		file := noteFile(t, firstNote)
		synctest.Test(t, func(t *testing.T) {
			platform := newFakePlatform()
			platform.refusing = c.refusing
			platform.due = time.Now().Add(time.Second)
			platform.event = func() { accept(t, platform) }
			began := time.Now()
			code, _, _ := run(t, platform, Options{Verb: VerbApply, File: file, Wait: 3 * time.Second})
			require.Equal(t, c.code, code)
			require.LessOrEqual(t, time.Since(began), 3*time.Second+100*time.Millisecond)
		})
	}
}

func TestApplyAfterLostAnswersHandsInOnce(t *testing.T) {
	for losing := range 3 {
		platform := newFakePlatform()
		platform.losing = losing
		file := noteFile(t, firstNote)
		code, _, _ := run(t, platform, Options{Verb: VerbApply, File: file})
		require.Equal(t, ExitUnknown, code)
		require.Equal(t, state.NoteID("first"), headOf(t, platform).Pending.Note.ID)
		accept(t, platform)
		code, _, _ = run(t, platform, Options{Verb: VerbApply, File: file})
		require.Equal(t, ExitInForce, code)
		require.Equal(t, state.ReleaseVersion(1), headOf(t, platform).Version)
		require.Len(t, headOf(t, platform).Decided, 1)
	}
}

func TestRacingNotesHaveOneWinnerThatIsNamed(t *testing.T) {
	platform := newFakePlatform()
	winner := &state.Note{ID: "winner", AddDomains: []state.DomainID{"lima-a"}, Deadline: time.Minute}
	platform.beforePut = func(objects.Call) {
		platform.beforePut = func(objects.Call) {
			require.NoError(t, NewStore(platform).HandIn(t.Context(), winner, time.Unix(1, 0)))
		}
	}
	code, out, _ := run(t, platform, Options{Verb: VerbApply, File: noteFile(t, firstNote), Wait: time.Second})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, out, "winner")
	require.Equal(t, state.NoteID("winner"), headOf(t, platform).Pending.Note.ID)
}

func TestApplyRefusesAnIDOfAnotherNote(t *testing.T) {
	platform := newFakePlatform()
	_, _, _ = run(t, platform, Options{Verb: VerbApply, File: noteFile(t, firstNote)})
	other := firstNote + "[[add.domain]]\nid = \"lima-b\"\n"
	code, _, complaint := run(t, platform, Options{Verb: VerbApply, File: noteFile(t, other)})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, complaint, "another note has the id")
}

func TestCheckNamesEveryProblem(t *testing.T) {
	platform := newFakePlatform()
	file := noteFile(t, firstNote)
	code, _, _ := run(t, platform, Options{Verb: VerbCheck, File: file})
	require.Equal(t, ExitInForce, code)
	require.Empty(t, platform.keys)
	_, _, _ = run(t, platform, Options{Verb: VerbApply, File: file})
	accept(t, platform)
	bad := "id = \"bad\"\nbase = 1\n[[withdraw.target]]\nid = \"feed-1\"\n[[withdraw.target]]\nid = \"none\"\n"
	code, _, complaint := run(t, platform, Options{Verb: VerbCheck, File: noteFile(t, bad)})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, complaint, "no_target_left")
	require.Contains(t, complaint, "unknown")
	code, _, complaint = run(t, platform, Options{Verb: VerbCheck, File: noteFile(t, "id = 3\n")})
	require.Equal(t, ExitUsage, code)
	require.Contains(t, complaint, "line 1: id")
}

func TestStatusSaysWhatIsAwaited(t *testing.T) {
	platform := newFakePlatform()
	_, _, _ = run(t, platform, Options{Verb: VerbApply, File: noteFile(t, firstNote)})
	_, out, _ := run(t, platform, Options{Verb: VerbStatus, Note: "first"})
	require.Contains(t, out, "have yet to check the note")
	accept(t, platform)
	_, out, _ = run(t, platform, Options{Verb: VerbStatus, Output: OutputJSON})
	require.Contains(t, out, `"state": "in force"`)
	_, out, _ = run(t, platform, Options{Verb: VerbStatus, Note: "stranger"})
	require.Contains(t, out, "no such note")
	_, out, _ = run(t, platform, Options{Verb: VerbHistory})
	require.Contains(t, out, "accepted")
}

func TestReadsAskEveryHost(t *testing.T) {
	var out, complaints bytes.Buffer
	caller := func(_ context.Context, address, _ string, _, reply any) error {
		if address == "b" {
			return errors.New("refused")
		}
		*reply.(*rpcapi.CountersReply) = rpcapi.CountersReply{Answering: state.HostID(address), Rows: []rpcapi.Counter{{Name: "dropped", Value: 3}}}
		return nil
	}
	options := Options{Verb: VerbCounters, Hosts: []string{"a", "b"}, Output: OutputTable, Timeout: time.Second}
	command := NewCommand(options, nil, caller, &out, &complaints, time.Now)
	require.Equal(t, ExitInForce, command.Run(t.Context()))
	require.Contains(t, out.String(), "dropped")
	require.Contains(t, complaints.String(), "b: refused")
	options.Hosts = []string{"b"}
	require.Equal(t, ExitUnknown, NewCommand(options, nil, caller, &out, &complaints, time.Now).Run(t.Context()))
	options.Hosts = nil
	require.Equal(t, ExitUsage, NewCommand(options, nil, caller, &out, &complaints, time.Now).Run(t.Context()))
}

func TestANoteWhoseDecisionIsNoLongerKeptIsNotRefused(t *testing.T) {
	platform := newFakePlatform()
	file := noteFile(t, firstNote)
	_, _, _ = run(t, platform, Options{Verb: VerbApply, File: file})
	accept(t, platform)
	head := headOf(t, platform)
	head.Decided = nil
	platform.set(objects.KeyHead, head)
	code, out, _ := run(t, platform, Options{Verb: VerbApply, File: file})
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, out, "decided long ago")
	require.Empty(t, headOf(t, platform).Decided)
}
