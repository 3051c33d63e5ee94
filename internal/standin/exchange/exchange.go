// Package exchange encodes and decodes the request protocol between the simulated
// callers and upstreams. A request is a header of fixed size; an answer is a header
// of fixed size followed by a body. The body's bytes are derived from the request's
// id, so that a caller detects an answer to another request.
package exchange

import (
	"encoding/binary"
	"errors"
)

// Kind is the kind of a request.
type Kind uint8

// Request kinds.
const (
	// Fetch is idempotent: it may run any number of times.
	Fetch Kind = 1
	// Deposit is not idempotent: it must run at most once.
	Deposit Kind = 2
)

// Status is the outcome of a request.
type Status uint8

// Answer statuses.
const (
	// Done means that the request ran.
	Done Status = 1
	// NotRun means that the target shed the request without running it.
	NotRun Status = 2
)

// Sizes of the encoded headers in bytes.
const (
	RequestSize      = 20
	AnswerHeaderSize = 24
)

const (
	requestMagic = 0x47575251
	answerMagic  = 0x47574152
)

// ErrMagic means that the data does not start with the magic number of a request,
// or of an answer when an answer is decoded.
var ErrMagic = errors.New("unknown magic number")

// Request asks for an answer with a body of AnswerSize bytes.
type Request struct {
	ID         uint64
	Kind       Kind
	AnswerSize uint32
}

// Encode returns the request's bytes.
func (r Request) Encode() []byte {
	b := make([]byte, RequestSize)
	binary.BigEndian.PutUint32(b[0:], requestMagic)
	b[4] = byte(r.Kind)
	binary.BigEndian.PutUint64(b[8:], r.ID)
	binary.BigEndian.PutUint32(b[16:], r.AnswerSize)
	return b
}

// DecodeRequest decodes the request at the start of b, which must hold at least
// RequestSize bytes.
func DecodeRequest(b []byte) (Request, error) {
	if binary.BigEndian.Uint32(b) != requestMagic {
		return Request{}, ErrMagic
	}
	return Request{
		Kind:       Kind(b[4]),
		ID:         binary.BigEndian.Uint64(b[8:]),
		AnswerSize: binary.BigEndian.Uint32(b[16:]),
	}, nil
}

// Answer is the header of an answer, which is followed by a body of Size bytes.
type Answer struct {
	ID     uint64
	Status Status
	Size   uint32
	// Target is the number of the upstream within its process.
	Target uint32
}

// Encode returns the header and the body.
func (a Answer) Encode() []byte {
	b := make([]byte, AnswerHeaderSize+int(a.Size))
	binary.BigEndian.PutUint32(b[0:], answerMagic)
	b[4] = byte(a.Status)
	binary.BigEndian.PutUint64(b[8:], a.ID)
	binary.BigEndian.PutUint32(b[16:], a.Size)
	binary.BigEndian.PutUint32(b[20:], a.Target)
	fillBody(b[AnswerHeaderSize:], a.ID)
	return b
}

// DecodeAnswer decodes the header at the start of b, which must hold at least
// AnswerHeaderSize bytes.
func DecodeAnswer(b []byte) (Answer, error) {
	if binary.BigEndian.Uint32(b) != answerMagic {
		return Answer{}, ErrMagic
	}
	return Answer{
		Status: Status(b[4]),
		ID:     binary.BigEndian.Uint64(b[8:]),
		Size:   binary.BigEndian.Uint32(b[16:]),
		Target: binary.BigEndian.Uint32(b[20:]),
	}, nil
}

// BodyMatches reports whether the body belongs to the answer to the request with
// the given id.
func BodyMatches(body []byte, id uint64) bool {
	for i := range body {
		if body[i] != patternByte(id, i) {
			return false
		}
	}
	return true
}

func fillBody(body []byte, id uint64) {
	for i := range body {
		body[i] = patternByte(id, i)
	}
}

// patternByte returns the i-th byte of the body of the answer to a request. It
// depends on the id and on i, so that a shifted body is detected as well.
func patternByte(id uint64, i int) byte {
	const multiplier = 0x9e3779b97f4a7c15
	x := (id + uint64(i/8)) * multiplier
	return byte(x >> (8 * (i % 8)))
}
