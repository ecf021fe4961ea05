// Package livedial configures TCP connections that fail soon after their peer
// becomes unreachable.
//
// If a VM loses power or its network connection, nothing resets its TCP
// connections, and each call on one of them would wait for its whole timeout. With
// the options set by Dialer and ListenConfig, keep-alive probes close an idle
// connection, and TCP_USER_TIMEOUT, the limit on unacknowledged data, closes a
// connection in use, about two seconds after the peer was lost.
package livedial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// KeepAliveIdle is how long a connection is idle before the first probe,
	// KeepAliveInterval is the time between probes, and KeepAliveCount is the
	// number of unanswered probes after which the connection is closed.
	KeepAliveIdle     = time.Second
	KeepAliveInterval = 500 * time.Millisecond
	KeepAliveCount    = 3
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It tolerates the loss of single packets, which TCP
	// retransmits within a few hundred milliseconds.
	UserTimeout = 2 * time.Second
)

// Dialer returns a dialer whose attempts fail after timeout. Its connections use
// keep-alive probes and UserTimeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// ListenConfig returns a listen configuration whose connections use keep-alive
// probes. It does not set UserTimeout: a server has write timeouts of its own.
func ListenConfig() *net.ListenConfig { return &net.ListenConfig{KeepAliveConfig: keepAlive()} }

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT, for which package net has no field. It
// ignores errors: on a system without this option the keep-alive probes still work.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
}
