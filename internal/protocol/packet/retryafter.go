package packet

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"golang.org/x/net/icmp"
)

// A refusal carries a retry-after time in milliseconds.
//
// In a RST it is ASCII text in the segment's data (RFC 9293, section 3.5.2), which is
// readable in a packet capture:
//
//	guavawharf refused retry-after-ms=1500
//
// In an ICMP destination unreachable message it is an extension object (RFC 4884) of
// private class 247 and type 1, whose payload is a 32-bit big-endian integer.
const (
	refusalPrefix = "guavawharf refused retry-after-ms="

	retryObjectClass = 247
	retryObjectType  = 1
	// retryObjectSize is the object's length in bytes, including its header.
	retryObjectSize = 8
)

// maxRetryAfter is the longest retry-after time that fits both formats.
const maxRetryAfter = (1<<32 - 1) * time.Millisecond

// retryAfterMillis converts d to milliseconds, rounded up and limited to 0 to
// maxRetryAfter.
func retryAfterMillis(d time.Duration) uint32 {
	d = min(max(d, 0), maxRetryAfter)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func appendRefusalText(dst []byte, retryAfter time.Duration) []byte {
	dst = append(dst, refusalPrefix...)
	return strconv.AppendUint(dst, uint64(retryAfterMillis(retryAfter)), 10)
}

func parseRefusalText(text []byte) (time.Duration, bool) {
	digits, found := bytes.CutPrefix(text, []byte(refusalPrefix))
	if !found {
		return 0, false
	}
	millis, err := strconv.ParseUint(string(digits), 10, 32)
	if err != nil {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

func retryAfterObject(retryAfter time.Duration) *icmp.RawExtension {
	data := make([]byte, retryObjectSize)
	binary.BigEndian.PutUint16(data[0:2], retryObjectSize)
	data[2] = retryObjectClass
	data[3] = retryObjectType
	binary.BigEndian.PutUint32(data[4:8], retryAfterMillis(retryAfter))
	return &icmp.RawExtension{Data: data}
}

func parseRetryAfterObject(extensions []icmp.Extension) (time.Duration, bool) {
	for _, extension := range extensions {
		raw, ok := extension.(*icmp.RawExtension)
		if !ok || len(raw.Data) != retryObjectSize {
			continue
		}
		if raw.Data[2] != retryObjectClass || raw.Data[3] != retryObjectType {
			continue
		}
		millis := binary.BigEndian.Uint32(raw.Data[4:8])
		return time.Duration(millis) * time.Millisecond, true
	}
	return 0, false
}
