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

// runCommand runs one verb on the platform and returns the exit code, the output
// and the error output.
func runCommand(t *testing.T, platform Platform, options Options) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	options.PlatformURL = "fake"
	if options.Output == "" {
		options.Output = OutputTable
	}
	options.Timeout = time.Second
	command := NewCommand(options, platform, nil, &out, &errOut, time.Now)
	return command.Run(t.Context()), out.String(), errOut.String()
}

func writeNoteFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "note.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func readHead(t *testing.T, platform Platform) objects.Head {
	head, _, err := NewStore(platform).Head(t.Context())
	require.NoError(t, err)
	return head
}

// acceptPending accepts the pending note and reports it in force, as entry hosts
// do.
func acceptPending(t *testing.T, platform *fakePlatform) {
	platform.set(objects.KeyHead, readHead(t, platform).Accept(time.Unix(1, 0)))
	platform.set(objects.PrefixInForce+"lima-a", objects.InForce{Domain: "lima-a", Version: readHead(t, platform).Version})
}

func TestApplyWaitsForTheOutcome(t *testing.T) {
	cases := []struct {
		name     string
		decide   func(*testing.T, *fakePlatform)
		code     int
		wantText string
	}{
		{"in force", acceptPending, ExitInForce, "in force"},
		{"refused", func(t *testing.T, p *fakePlatform) {
			p.set(objects.KeyHead, readHead(t, p).Refuse("lima-a: too heavy", time.Unix(1, 0)))
		}, ExitRefused, "too heavy"},
		{"undecided", func(*testing.T, *fakePlatform) {}, ExitUnknown, "submitted"},
		{"accepted, not yet in force", func(t *testing.T, p *fakePlatform) {
			p.set(objects.KeyHead, readHead(t, p).Accept(time.Unix(1, 0)))
		}, ExitUnknown, "accepted"},
		{"platform lost", func(_ *testing.T, p *fakePlatform) { p.down = true }, ExitUnknown, "submitted"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := writeNoteFile(t, firstNote)
			synctest.Test(t, func(t *testing.T) {
				platform := newFakePlatform()
				platform.due = time.Now().Add(time.Second)
				platform.onDue = func() { c.decide(t, platform) }
				code, out, _ := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file, Wait: 3 * time.Second})
				require.Equal(t, c.code, code, out)
				require.Contains(t, out, c.wantText)
			})
		})
	}
}

// A loaded platform refuses calls with a retry delay. apply must retry until its
// wait ends; it used to exit with code 3 at the first refusal although the delay
// was 100 ms and it had 30 s to wait.
func TestApplyRetriesCallsThePlatformRefuses(t *testing.T) {
	for _, c := range []struct{ callsToRefuse, code int }{{5, ExitInForce}, {1000, ExitUnknown}} {
		file := writeNoteFile(t, firstNote)
		synctest.Test(t, func(t *testing.T) {
			platform := newFakePlatform()
			platform.callsToRefuse = c.callsToRefuse
			platform.due = time.Now().Add(time.Second)
			platform.onDue = func() { acceptPending(t, platform) }
			began := time.Now()
			code, _, _ := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file, Wait: 3 * time.Second})
			require.Equal(t, c.code, code)
			require.LessOrEqual(t, time.Since(began), 3*time.Second+100*time.Millisecond)
		})
	}
}

// If answers to writes are lost, running apply again must not submit the note a
// second time.
func TestApplyIsIdempotentAfterLostAnswers(t *testing.T) {
	for answersToLose := range 3 {
		platform := newFakePlatform()
		platform.answersToLose = answersToLose
		file := writeNoteFile(t, firstNote)
		code, _, _ := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file})
		require.Equal(t, ExitUnknown, code)
		require.Equal(t, state.NoteID("first"), readHead(t, platform).Pending.Note.ID)
		acceptPending(t, platform)
		code, _, _ = runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file})
		require.Equal(t, ExitInForce, code)
		require.Equal(t, state.ReleaseVersion(1), readHead(t, platform).Version)
		require.Len(t, readHead(t, platform).Decided, 1)
	}
}

// Another operator submits a note between the two writes of apply. That note
// stays pending, and the refusal of the second names it.
func TestApplyIsRefusedAndNamesTheNoteSubmittedFirst(t *testing.T) {
	platform := newFakePlatform()
	winner := &state.Note{ID: "winner", AddDomains: []state.DomainID{"lima-a"}, Deadline: time.Minute}
	platform.beforePut = func(objects.Call) {
		platform.beforePut = func(objects.Call) {
			require.NoError(t, NewStore(platform).Submit(t.Context(), winner, time.Unix(1, 0)))
		}
	}
	code, out, _ := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: writeNoteFile(t, firstNote), Wait: time.Second})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, out, "winner")
	require.Equal(t, state.NoteID("winner"), readHead(t, platform).Pending.Note.ID)
}

func TestApplyRejectsIDOfAnotherNote(t *testing.T) {
	platform := newFakePlatform()
	_, _, _ = runCommand(t, platform, Options{Verb: VerbApply, NoteFile: writeNoteFile(t, firstNote)})
	other := firstNote + "[[add.domain]]\nid = \"lima-b\"\n"
	code, _, errText := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: writeNoteFile(t, other)})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, errText, "another note has the id")
}

func TestCheckReportsEveryProblem(t *testing.T) {
	platform := newFakePlatform()
	file := writeNoteFile(t, firstNote)
	code, _, _ := runCommand(t, platform, Options{Verb: VerbCheck, NoteFile: file})
	require.Equal(t, ExitInForce, code)
	require.Empty(t, platform.keys)
	_, _, _ = runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file})
	acceptPending(t, platform)
	bad := "id = \"bad\"\nbase = 1\n[[withdraw.target]]\nid = \"feed-1\"\n[[withdraw.target]]\nid = \"none\"\n"
	code, _, errText := runCommand(t, platform, Options{Verb: VerbCheck, NoteFile: writeNoteFile(t, bad)})
	require.Equal(t, ExitRefused, code)
	require.Contains(t, errText, "no_target_left")
	require.Contains(t, errText, "unknown")
	code, _, errText = runCommand(t, platform, Options{Verb: VerbCheck, NoteFile: writeNoteFile(t, "id = 3\n")})
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errText, "line 1: id")
}

func TestStatusReportsWhatIsAwaited(t *testing.T) {
	platform := newFakePlatform()
	_, _, _ = runCommand(t, platform, Options{Verb: VerbApply, NoteFile: writeNoteFile(t, firstNote)})
	_, out, _ := runCommand(t, platform, Options{Verb: VerbStatus, NoteID: "first"})
	require.Contains(t, out, "have yet to check the note")
	acceptPending(t, platform)
	_, out, _ = runCommand(t, platform, Options{Verb: VerbStatus, Output: OutputJSON})
	require.Contains(t, out, `"state": "in force"`)
	_, out, _ = runCommand(t, platform, Options{Verb: VerbStatus, NoteID: "stranger"})
	require.Contains(t, out, "no such note")
	_, out, _ = runCommand(t, platform, Options{Verb: VerbHistory})
	require.Contains(t, out, "accepted")
}

func TestReadsQueryEveryHost(t *testing.T) {
	var out, errOut bytes.Buffer
	call := func(_ context.Context, address, _ string, _, reply any) error {
		if address == "b" {
			return errors.New("refused")
		}
		*reply.(*rpcapi.CountersReply) = rpcapi.CountersReply{Answering: state.HostID(address), Rows: []rpcapi.Counter{{Name: "dropped", Value: 3}}}
		return nil
	}
	options := Options{Verb: VerbCounters, Hosts: []string{"a", "b"}, Output: OutputTable, Timeout: time.Second}
	command := NewCommand(options, nil, call, &out, &errOut, time.Now)
	require.Equal(t, ExitInForce, command.Run(t.Context()))
	require.Contains(t, out.String(), "dropped")
	require.Contains(t, errOut.String(), "b: refused")
	options.Hosts = []string{"b"}
	require.Equal(t, ExitUnknown, NewCommand(options, nil, call, &out, &errOut, time.Now).Run(t.Context()))
	options.Hosts = nil
	require.Equal(t, ExitUsage, NewCommand(options, nil, call, &out, &errOut, time.Now).Run(t.Context()))
}

// The head keeps a limited number of decisions. Applying an accepted note again
// after its decision was dropped must not record the note as refused.
func TestApplyDoesNotRefuseNoteWhoseDecisionWasDropped(t *testing.T) {
	platform := newFakePlatform()
	file := writeNoteFile(t, firstNote)
	_, _, _ = runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file})
	acceptPending(t, platform)
	head := readHead(t, platform)
	head.Decided = nil
	platform.set(objects.KeyHead, head)
	code, out, _ := runCommand(t, platform, Options{Verb: VerbApply, NoteFile: file})
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, out, "decided long ago")
	require.Empty(t, readHead(t, platform).Decided)
}
