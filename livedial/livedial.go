// Package livedial opens TCP connections that notice when their peer falls
// silent.
//
// The failure: a VM loses power or is cut off, and nothing resets its
// connections. A call on one of them waits for its whole timeout, and so does
// the next. Keep-alive probes end an idle connection, and the bound on
// unacknowledged data one in use, some two seconds after the peer was lost.
package livedial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// KeepAliveIdle is how long a connection is quiet before it is probed, and
	// KeepAliveInterval the time between probes. KeepAliveCount probes without
	// an answer end it.
	KeepAliveIdle     = time.Second
	KeepAliveInterval = 500 * time.Millisecond
	KeepAliveCount    = 3
	// UserTimeout is how long sent data may stay unacknowledged. Packets that
	// are lost one by one are sent again within a few hundred milliseconds.
	UserTimeout = 2 * time.Second
)

// Dialer returns a dialer whose attempts end after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(), Control: control}
}

// ListenConfig returns what listens for connections that are probed. The bound
// on unacknowledged data is for those that dial: who answers has bounds of its
// own on writing.
func ListenConfig() *net.ListenConfig { return &net.ListenConfig{KeepAliveConfig: keepAlive()} }

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: KeepAliveIdle, Interval: KeepAliveInterval, Count: KeepAliveCount}
}

// control sets what package net has no field for. A system without the option
// keeps the probes.
func control(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
}
