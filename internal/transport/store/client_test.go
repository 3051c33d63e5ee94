package store

import (
	"encoding/json"
	"expvar"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

func startFakeStore(t *testing.T) (*fakeStore, *Client, *expvar.Map) {
	t.Helper()
	store := newFakeStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	counters := new(expvar.Map)
	client := NewClient(Settings{Address: server.URL}, counters)
	t.Cleanup(client.Close)
	return store, client, counters
}

func put(key string, version uint64, value string) objects.Call {
	return objects.Call{Verb: objects.VerbPut, Key: key, Version: version, Value: json.RawMessage(value)}
}

func TestCallsOverHTTP(t *testing.T) {
	_, client, _ := startFakeStore(t)
	get := objects.Call{Verb: objects.VerbGet, Key: "release/notes/a b%c"}
	require.Equal(t, objects.ResultAbsent, client.Do(t.Context(), get).Result)
	require.Equal(t, objects.ResultOK, client.Do(t.Context(), put(get.Key, 0, `{"x":1}`)).Result)
	read := client.Do(t.Context(), get)
	require.Equal(t, objects.ResultOK, read.Result)
	require.JSONEq(t, `{"x":1}`, string(read.Object.Value))

	conflict := client.Do(t.Context(), put(get.Key, 0, `{"x":2}`))
	require.Equal(t, objects.ResultConflict, conflict.Result)
	require.EqualValues(t, 1, conflict.Object.Version)

	list := client.Do(t.Context(), objects.Call{Verb: objects.VerbList, Key: "release/"})
	require.Len(t, list.Page.Objects, 1)
	watch := objects.Call{Verb: objects.VerbWatch, Key: "release/", After: 0}
	require.Len(t, client.Do(t.Context(), watch).Page.Objects, 1)
	watch.After = list.Page.Revision
	require.Empty(t, client.Do(t.Context(), watch).Page.Objects)
}
