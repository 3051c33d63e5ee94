package exchange

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestRoundTrip(t *testing.T) {
	request := Request{ID: 1 << 40, Kind: Deposit, AnswerSize: 9}
	decoded, err := DecodeRequest(request.Encode())
	require.NoError(t, err)
	require.Equal(t, request, decoded)
	_, err = DecodeRequest(Answer{}.Encode())
	require.ErrorIs(t, err, ErrMagic)
}

// A body must match neither another request's id nor, if it is shifted by a byte,
// its own.
func TestAnswerBodyMatchesOnlyItsRequest(t *testing.T) {
	answer := Answer{ID: 77, Status: Done, Size: 64, Target: 3}
	encoded := answer.Encode()
	decoded, err := DecodeAnswer(encoded)
	require.NoError(t, err)
	require.Equal(t, answer, decoded)
	body := encoded[AnswerHeaderSize:]
	require.True(t, BodyMatches(body, 77))
	require.False(t, BodyMatches(body, 78))
	require.False(t, BodyMatches(body[1:], 77))
	_, err = DecodeAnswer(Request{}.Encode()[:RequestSize:RequestSize])
	require.ErrorIs(t, err, ErrMagic)
}
