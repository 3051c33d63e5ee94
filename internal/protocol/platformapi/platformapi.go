// Package platformapi is the HTTP binding of the platform's object API. Bodies are
// JSON:
//
//	GET    /v1/objects/{key}                     read one object
//	PUT    /v1/objects/{key}?version=N           write if the current version is N; 0 creates
//	GET    /v1/objects?prefix=P                  list objects by key prefix
//	GET    /v1/watch?prefix=P&after=REV&wait=S   long poll: objects changed after revision REV
//
// The body of a PUT is the bare JSON value. An object in a response is
// {"key","version","revision","value"}; the response to a list or a watch is
// {"revision","objects":[...]}.
//
// Status 404 means that the object is absent, 409 that its version differs (the body
// is the current object), 413 that the value is too large, 429 that the client is rate
// limited (Retry-After is in seconds), and 503 that the store is down.
package platformapi

// Paths of the API.
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
)
