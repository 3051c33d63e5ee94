package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/protocol/platformapi"
	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// envelopeSize is what an object's answer holds besides its value, at most.
const envelopeSize = 4 << 10

func newHTTPClient(s Settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.Timeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     s.MaxConnections,
			MaxIdleConnsPerHost: s.MaxConnections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send makes one HTTP request.
func (c *Client) send(ctx context.Context, call objects.Call) attempt {
	c.counters.Add(CountAttempt+verbName(call.Verb), 1)
	limit := c.settings.Timeout
	if call.Verb == objects.VerbWatch {
		limit += call.Wait
	}
	attemptCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(traced, call)
	if err != nil {
		return attempt{cause: causeInvalid}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return attempt{cause: failureCause(ctx, err, connected.Load()), sent: connected.Load()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit(call)))
	if err != nil {
		return attempt{cause: failureCause(ctx, err, true), sent: true}
	}
	return decode(call, response, body)
}

// request builds the HTTP request of a call.
func (c *Client) request(ctx context.Context, call objects.Call) (*http.Request, error) {
	object := c.base + platformapi.PathObjects + "/" + escapeKey(call.Key)
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
		address := c.base + platformapi.PathObjects + "?" + query.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	case objects.VerbWatch:
		query.Set("prefix", call.Key)
		query.Set("after", strconv.FormatUint(call.After, 10))
		query.Set("wait", strconv.FormatFloat(call.Wait.Seconds(), 'f', -1, 64))
		address := c.base + platformapi.PathWatch + "?" + query.Encode()
		return http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	}
	return nil, errors.ErrUnsupported
}

// escapeKey escapes a key for the path and keeps its slashes.
func escapeKey(key string) string { return (&url.URL{Path: key}).EscapedPath() }

func bodyLimit(call objects.Call) int64 {
	if call.Verb == objects.VerbList || call.Verb == objects.VerbWatch {
		return maxPageSize
	}
	return objects.MaxValueSize + envelopeSize
}

// failureCause classifies a request without an answer.
func failureCause(ctx context.Context, err error, connected bool) cause {
	switch {
	case ctx.Err() != nil:
		return causeCancelled
	case !connected:
		return causeConnect
	case errors.Is(err, context.DeadlineExceeded):
		return causeTimeout
	}
	return causeLost
}

// decode reads the answer.
func decode(call objects.Call, response *http.Response, body []byte) attempt {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return decodeBody(call, objects.ResultOK, body)
	case http.StatusNotFound:
		return attempt{answered: true, outcome: objects.Outcome{Result: objects.ResultAbsent}}
	case http.StatusConflict:
		return decodeBody(call, objects.ResultConflict, body)
	case http.StatusRequestEntityTooLarge:
		return attempt{cause: causeTooLarge, sent: true}
	case http.StatusTooManyRequests:
		return attempt{cause: causeRateLimited, sent: true, retryAfter: retryAfter(response)}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return attempt{cause: causeUnavailable, sent: true, retryAfter: retryAfter(response)}
	}
	return attempt{cause: causeInvalid, sent: true}
}

func decodeBody(call objects.Call, result objects.Result, body []byte) attempt {
	a := attempt{answered: true, outcome: objects.Outcome{Result: result}}
	var err error
	if call.Verb == objects.VerbList || call.Verb == objects.VerbWatch {
		err = json.Unmarshal(body, &a.outcome.Page)
	} else if len(body) > 0 || result == objects.ResultOK {
		err = json.Unmarshal(body, &a.outcome.Object)
	}
	if err != nil {
		return attempt{cause: causeMalformed, sent: true}
	}
	return a
}

// defaultRetryAfter applies to a rate limit that names no time.
const defaultRetryAfter = 1 * time.Second

// retryAfter reads the header in seconds.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Hour.Seconds() {
		return defaultRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
