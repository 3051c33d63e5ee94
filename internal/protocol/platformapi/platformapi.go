// Package platformapi is the HTTP binding of the platform's object API.
//
// HTTP binding (JSON bodies):
//
//	GET    /v1/objects/{key}                     read one object
//	PUT    /v1/objects/{key}?version=N           write if the current version is N; 0 creates
//	GET    /v1/objects?prefix=P                  list objects by key prefix
//	GET    /v1/watch?prefix=P&after=REV&wait=S   long poll: objects changed after revision REV
//
// An Object is answered as {"key","version","revision","value"}; a list or
// watch as {"revision","objects":[...]}. Status 404 is absent, 409 a failed
// condition (the body is the current object), 413 too large, 429 rate limited
// (Retry-After in seconds), 503 down. A PUT body is the bare JSON value.
package platformapi

// Paths of the API.
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
)
