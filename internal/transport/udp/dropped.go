package udp

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/samber/oops"
)

// Columns of /proc/net/udp and /proc/net/udp6, counted from 0.
const (
	columnInode = 9
	columnDrops = 12
	columnCount = 13
)

// Dropped returns the number of datagrams that the kernel has dropped because the
// socket's receive buffer was full.
func (s *Socket) Dropped() (int64, error) {
	inode, err := s.inode()
	if err != nil {
		return 0, oops.Code("udp_dropped").Wrap(err)
	}
	path := "/proc/self/net/udp"
	if !s.ip4 {
		path = "/proc/self/net/udp6"
	}
	table, err := os.ReadFile(path)
	if err != nil {
		return 0, oops.Code("udp_dropped").Wrap(err)
	}
	return parseDrops(string(table), strconv.FormatUint(inode, 10))
}

// inode returns the inode number, which identifies the socket in the kernel's tables.
func (s *Socket) inode() (uint64, error) {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var stat syscall.Stat_t
	var statErr error
	err = raw.Control(func(fd uintptr) { statErr = syscall.Fstat(int(fd), &stat) })
	if err != nil {
		return 0, err
	}
	return stat.Ino, statErr
}

// parseDrops returns the drop counter of the socket with the given inode number.
func parseDrops(table, inode string) (int64, error) {
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) >= columnCount && columns[columnInode] == inode {
			return strconv.ParseInt(columns[columnDrops], 10, 64)
		}
	}
	return 0, oops.Code("udp_dropped").Errorf("socket %s is not in the kernel's table", inode)
}
