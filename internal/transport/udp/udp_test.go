package udp

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testBufferSize = 64

type testBuffer []byte

func (s testBuffer) Bytes() []byte { return s }

func newTestBuffer() testBuffer { return make(testBuffer, testBufferSize) }

func listen(t *testing.T, address string) *Socket {
	t.Helper()
	socket, err := Listen(netip.MustParseAddrPort(address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// readAll reads until count datagrams have arrived.
func readAll(t *testing.T, socket *Socket, count int) []Datagram[testBuffer] {
	t.Helper()
	reader := NewReader(socket, newTestBuffer)
	var got []Datagram[testBuffer]
	for len(got) < count {
		require.NoError(t, reader.Read(func(d Datagram[testBuffer]) bool {
			got = append(got, d)
			return true
		}))
	}
	return got
}

func TestDatagramsArriveWithTheirSender(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run(address, func(t *testing.T) {
			from, to := listen(t, address), listen(t, address)
			writer := NewWriter(from)
			const count = BatchSize + 3
			for i := range count {
				writer.Add([]byte{byte(i)}, to.Address())
			}
			require.Zero(t, writer.Flush())
			got := readAll(t, to, count)
			for i, datagram := range got {
				require.Equal(t, []byte{byte(i)}, []byte(datagram.Buffer[:datagram.Size]))
				require.Equal(t, from.Address(), datagram.From)
				require.False(t, datagram.Truncated)
			}
		})
	}
}

func TestLongDatagramIsMarkedTruncated(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	writer := NewWriter(from)
	writer.Add(make([]byte, testBufferSize+1), to.Address())
	require.Zero(t, writer.Flush())
	require.True(t, readAll(t, to, 1)[0].Truncated)
}

func TestFailedSendsAreCountedAndSkipped(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	writer := NewWriter(from)
	const tooLong = 1 << 16
	writer.Add([]byte{1}, netip.MustParseAddrPort("[::1]:9"))
	writer.Add(make([]byte, tooLong), to.Address())
	writer.Add([]byte{2}, to.Address())
	require.Equal(t, 2, writer.Flush())
	require.Zero(t, writer.Flush())
	require.Equal(t, byte(2), readAll(t, to, 1)[0].Buffer[0])
}

func TestReadDeadlineLeavesTheSocketOpenForWrites(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	require.NoError(t, from.SetReadDeadline(time.Now()))
	err := NewReader(from, newTestBuffer).Read(func(Datagram[testBuffer]) bool { return false })
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	writer := NewWriter(from)
	writer.Add([]byte{1}, to.Address())
	require.Zero(t, writer.Flush())
	require.Len(t, readAll(t, to, 1), 1)
}

func TestCloneSendsFromTheSameAddress(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	clone, err := from.Clone()
	require.NoError(t, err)
	require.NoError(t, from.Close())
	writer := NewWriter(clone)
	writer.Add([]byte{1}, to.Address())
	require.Zero(t, writer.Flush())
	require.Equal(t, clone.Address(), readAll(t, to, 1)[0].From)
	require.NoError(t, clone.Close())
}

// TestDroppedCountsReceiveBufferOverflow overflows a small receive buffer: each sent
// datagram must be either received or counted as dropped.
func TestDroppedCountsReceiveBufferOverflow(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	require.NoError(t, to.conn.SetReadBuffer(1))
	const count = 1000
	writer := NewWriter(from)
	for range count {
		writer.Add([]byte{1}, to.Address())
	}
	require.Zero(t, writer.Flush())
	dropped, err := to.Dropped()
	require.NoError(t, err)
	require.Positive(t, dropped)
	require.Len(t, readAll(t, to, count-int(dropped)), count-int(dropped))
	again, err := from.Dropped()
	require.NoError(t, err)
	require.Zero(t, again)
}

func TestCloseEndsPendingRead(t *testing.T) {
	socket := listen(t, "127.0.0.1:0")
	done := make(chan error)
	go func() {
		done <- NewReader(socket, newTestBuffer).Read(func(Datagram[testBuffer]) bool { return false })
	}()
	require.NoError(t, socket.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}

func TestReadAndWriteDoNotAllocate(t *testing.T) {
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	writer, reader := NewWriter(from), NewReader(to, newTestBuffer)
	address, data := to.Address(), []byte{1, 2, 3}
	handle := func(Datagram[testBuffer]) bool { return false }
	require.Zero(t, testing.AllocsPerRun(200, func() {
		writer.Add(data, address)
		writer.Flush()
		if err := reader.Read(handle); err != nil {
			t.Error(err)
		}
	}))
}
