package peerapi

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/coordination/hostlist"
	"github.com/guavawharf/guavawharf/internal/state/catalog"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// goldenWrite writes the messages of this version: copy this file into the tree of a landed
// version and run its test there with the commit's name.
var goldenWrite = flag.String("golden.write", "", "name of the file in testdata to write")

// messages returns one of each message, with all fields set.
func messages() []any {
	from := netip.MustParseAddrPort("10.1.0.10:8166")
	hosts := []hostlist.Host{{Control: from, Domain: "a"}}
	return []any{
		&Query{
			Version: 3, From: from, Domain: "a",
			Reads: []Read{{Kind: "servers", List: true, Key: "i-1", After: 7, Era: 2, NewerConfig: true, ConfigVersion: 5}},
			Hosts: &hostlist.Report{Digest: 11, Hosts: hosts, Known: 12},
		},
		&Reply{
			Answers: []Answer{{Known: true, TooLarge: true, Age: time.Second, Era: 2, Doubt: time.Minute, Page: objects.Page{
				Revision: 9, More: true,
				Objects: []objects.Object{{Key: "servers/i-1", Version: 4, Revision: 8, Value: json.RawMessage(`{}`), Deleted: true}},
			}}},
			Instead: from,
			Hosts:   hostlist.Answer{Settled: true, Digest: 13, Hosts: hosts, Resend: true},
		},
		&Report{Version: 3, From: from, Targets: []catalog.TargetID{1 << 40}},
		&Notice{Version: 3, From: from, Kind: "evacuations"},
		&StepAsideQuery{Version: 3, From: from},
		&StepAsideReply{For: 4 * time.Second},
	}
}

func TestMessagesHaveAllFieldsSet(t *testing.T) {
	for _, message := range messages() {
		requireNoZeroField(t, reflect.ValueOf(message).Elem())
	}
	if *goldenWrite == "" {
		return
	}
	var encoded bytes.Buffer
	for _, message := range messages() {
		require.NoError(t, gob.NewEncoder(&encoded).Encode(message))
	}
	require.NoError(t, os.WriteFile(filepath.Join("testdata", *goldenWrite), encoded.Bytes(), 0o600))
}

// requireNoZeroField checks a message and the messages in it, so that no field is left out of
// the comparison with older versions.
func requireNoZeroField(t *testing.T, value reflect.Value) {
	if value.Kind() != reflect.Struct || value.Type() == reflect.TypeFor[netip.AddrPort]() {
		return
	}
	for i := range value.NumField() {
		field := value.Field(i)
		require.False(t, field.IsZero(), "%s.%s", value.Type(), value.Type().Field(i).Name)
		switch field.Kind() {
		case reflect.Pointer:
			requireNoZeroField(t, field.Elem())
		case reflect.Slice:
			requireNoZeroField(t, field.Index(0))
		case reflect.Struct:
			requireNoZeroField(t, field)
		}
	}
}

// Messages of landed versions, encoded by their own code, are read in full. A field that was
// renamed, or whose type has changed, would be missing without an error.
func TestMessagesOfLandedVersionsAreRead(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.gob"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		encoded, err := os.ReadFile(file)
		require.NoError(t, err)
		stream := bytes.NewReader(encoded)
		for _, want := range messages() {
			got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			require.NoError(t, gob.NewDecoder(stream).Decode(got), file)
			require.Equal(t, want, got, file)
		}
	}
}
