package network

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to a TCP connection its peer has not
// acknowledged; 0 for other connections.
func Unacknowledged(conn net.Conn) int {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
