package livedial

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Without these options a connection hangs for minutes after its peer is lost.
func TestConnectionsHaveSocketOptions(t *testing.T) {
	c := qt.New(t)
	listener, err := ListenConfig().Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	conn, err := Dialer(time.Second).Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer accepted.Close()
	c.Check(option(c, conn, unix.TCP_USER_TIMEOUT), qt.Equals, int(UserTimeout.Milliseconds()))
	for _, end := range []net.Conn{conn, accepted} {
		c.Check(option(c, end, unix.TCP_KEEPIDLE), qt.Equals, int(KeepAliveIdle.Seconds()))
	}
}

// option returns the value of one TCP option of a connection.
func option(c *qt.C, conn net.Conn, name int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	value := 0
	c.Assert(raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
	}), qt.IsNil)
	c.Assert(err, qt.IsNil)
	return value
}
