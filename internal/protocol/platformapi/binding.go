package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/guavawharf/guavawharf/internal/protocol/jsondepth"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Protocol builds the requests of this binding and decodes the responses.
type Protocol struct{}

// NewRequest returns the HTTP request for a call to the store at the URL base. Unknown
// verbs are errors.ErrUnsupported.
func (Protocol) NewRequest(ctx context.Context, base string, call objects.Call) (*http.Request, error) {
	object := base + PathObjects + "/" + escapeKey(call.Key)
	query := url.Values{}
	switch call.Verb {
	case objects.VerbGet:
		return http.NewRequestWithContext(ctx, http.MethodGet, object, nil)
	case objects.VerbPut:
		query.Set("version", strconv.FormatUint(call.Version, 10))
		body := bytes.NewReader(call.Value)
		return http.NewRequestWithContext(ctx, http.MethodPut, object+"?"+query.Encode(), body)
	case objects.VerbList:
		query.Set("prefix", call.Key)
		address := base + PathObjects + "?" + query.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	case objects.VerbWatch:
		query.Set("prefix", call.Key)
		query.Set("after", strconv.FormatUint(call.After, 10))
		query.Set("wait", strconv.FormatFloat(call.Wait.Seconds(), 'f', -1, 64))
		address := base + PathWatch + "?" + query.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	}
	return nil, errors.ErrUnsupported
}

// escapeKey escapes a key for use in a path. Slashes stay as they are.
func escapeKey(key string) string { return (&url.URL{Path: key}).EscapedPath() }

// DecodeObject decodes the response to a get or a put.
func (Protocol) DecodeObject(body []byte) (objects.Object, error) {
	var object objects.Object
	body, pruned := jsondepth.Prune(body, maxNesting)
	err := json.Unmarshal(body, &object)
	if pruned {
		dropPruned(&object)
	}
	return object, err
}

// DecodeEra returns 0: this interface does not tell the store's era.
func (Protocol) DecodeEra(http.Header) objects.Era { return 0 }

// DecodePage decodes the response to a list or a watch.
func (Protocol) DecodePage(body []byte) (objects.Page, error) {
	var page objects.Page
	body, pruned := jsondepth.Prune(body, maxNesting)
	err := json.Unmarshal(body, &page)
	if !pruned {
		return page, err
	}
	for i := range page.Objects {
		dropPruned(&page.Objects[i])
	}
	return page, err
}

// maxNesting is the deepest nesting of arrays and objects in a response, 3 levels of which
// are around the values.
const maxNesting = 35

// dropPruned leaves nothing of a value that was nested too deeply but a text that is no
// object of this system.
func dropPruned(object *objects.Object) {
	if jsondepth.HasPlaceholder(object.Value) {
		object.Value = json.RawMessage(jsondepth.Placeholder)
	}
}
