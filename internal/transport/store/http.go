package store

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// maxObjectOverhead bounds the bytes of an object's response body besides its value.
const maxObjectOverhead = 4 << 10

// newHTTPClient returns a client that opens a connection for each request. On a reused one,
// a late second copy of an answer would be taken for the answer to the next request, since
// HTTP/1.1 does not number them.
func newHTTPClient(s Settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.Timeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			MaxConnsPerHost:    s.MaxConnections,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send makes one HTTP request. The request counts as sent once it has a connection.
func (c *Client) send(ctx context.Context, call objects.Call) attempt {
	c.counters.Add(CountAttempt+verbName(call.Verb), 1)
	timeout := c.settings.Timeout
	if call.Verb == objects.VerbWatch {
		timeout += call.Wait
	}
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	tracedCtx := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.settings.Protocol.NewRequest(tracedCtx, c.baseURL, call)
	if err != nil {
		return attempt{cause: causeInvalid}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return attempt{cause: failureCause(ctx, err, connected.Load()), sent: connected.Load()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize(call)))
	if err != nil {
		return attempt{cause: failureCause(ctx, err, true), sent: true}
	}
	a := c.decodeResponse(call, response, body)
	a.outcome.Era = c.settings.Protocol.DecodeEra(response.Header)
	return a
}

// maxBodySize returns the limit for the response body of a call, in bytes.
func maxBodySize(call objects.Call) int64 {
	if call.Verb == objects.VerbList || call.Verb == objects.VerbWatch {
		return maxPageSize
	}
	return objects.MaxValueSize + maxObjectOverhead
}

// failureCause classifies the error of a request without a complete response.
func failureCause(ctx context.Context, err error, connected bool) cause {
	switch {
	case ctx.Err() != nil:
		return causeCancelled
	case !connected:
		return causeConnect
	case errors.Is(err, context.DeadlineExceeded):
		return causeTimeout
	}
	return causeResponseLost
}

// decodeResponse maps the status code and the body of a response to an attempt.
func (c *Client) decodeResponse(call objects.Call, response *http.Response, body []byte) attempt {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return c.decodeBody(call, objects.ResultOK, body)
	case http.StatusNotFound:
		return attempt{hasOutcome: true, outcome: objects.Outcome{Result: objects.ResultAbsent}}
	case http.StatusConflict:
		return c.decodeBody(call, objects.ResultConflict, body)
	case http.StatusGone:
		return attempt{hasOutcome: true, outcome: objects.Outcome{Result: objects.ResultExpired}}
	case http.StatusRequestEntityTooLarge:
		return attempt{cause: causeTooLarge, sent: true}
	case http.StatusTooManyRequests:
		return attempt{cause: causeRateLimited, sent: true, retryAfter: c.retryAfter(response)}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return attempt{cause: causeUnavailable, sent: true, retryAfter: c.retryAfter(response)}
	}
	return attempt{cause: causeInvalid, sent: true}
}

func (c *Client) decodeBody(call objects.Call, result objects.Result, body []byte) attempt {
	a := attempt{hasOutcome: true, outcome: objects.Outcome{Result: result}}
	var err error
	if call.Verb == objects.VerbList || call.Verb == objects.VerbWatch {
		a.outcome.Page, err = c.settings.Protocol.DecodePage(body)
	} else if len(body) > 0 || result == objects.ResultOK {
		a.outcome.Object, err = c.settings.Protocol.DecodeObject(body)
	}
	if err != nil {
		return attempt{cause: causeMalformed, sent: true}
	}
	return a
}

// retryAfter returns the duration of the Retry-After header, which is in seconds. If the
// header is missing, invalid, negative or above an hour, it returns Settings.RetryAfter.
func (c *Client) retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > time.Hour.Seconds() {
		return c.settings.RetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
