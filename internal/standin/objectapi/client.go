// Package objectapi is an HTTP client of the platform's object service for the
// simulated callers and upstreams. It neither retries calls nor limits their rate.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Client calls the object service of one platform.
type Client struct {
	base string
	http http.Client
}

// callTimeout bounds a call; a watch may take its wait time in addition.
const callTimeout = 2 * time.Second

// New returns a client of the object service at the base URL.
func New(base string) *Client { return &Client{base: base} }

// Get returns an object. If there is none, the returned object's version is 0.
func (c *Client) Get(ctx context.Context, key string) (objects.Object, error) {
	var object objects.Object
	err := c.call(ctx, http.MethodGet, platformapi.PathObjects+"/"+key, nil, callTimeout, &object)
	return object, err
}

// Put writes the value, as JSON, if the object's current version is the given one.
// Otherwise it returns an error.
func (c *Client) Put(ctx context.Context, key string, version uint64, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("%s/%s?version=%d", platformapi.PathObjects, key, version)
	return c.call(ctx, http.MethodPut, path, body, callTimeout, nil)
}

// Watch waits for objects under the prefix that changed after the given revision
// and returns them, or an empty page if none has changed when wait has passed.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (objects.Page, error) {
	var page objects.Page
	path := fmt.Sprintf("%s?prefix=%s&after=%d&wait=%g",
		platformapi.PathWatch, url.QueryEscape(prefix), after, wait.Seconds())
	err := c.call(ctx, http.MethodGet, path, nil, wait+callTimeout, &page)
	return page, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusNotFound && method == http.MethodGet:
		return nil
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s %s: status %d", method, path, response.StatusCode)
	case result == nil:
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	return json.NewDecoder(response.Body).Decode(result)
}
