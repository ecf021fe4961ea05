package node

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a timer left over from an earlier wait that closes a connection during a
// request, or too early in the next wait, and against a wait that then never ends.
func TestIdleTimerIsReusedBetweenWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var timer idleTimer
		defer timer.close()
		var expired []time.Duration
		begun := time.Now()
		expire := func() { expired = append(expired, time.Since(begun)) }
		timer.start(10*time.Second, expire)
		time.Sleep(4 * time.Second)
		timer.stop()
		time.Sleep(8 * time.Second)
		synctest.Wait()
		c.Check(expired, qt.HasLen, 0)
		timer.start(10*time.Second, expire) // from 12 s
		time.Sleep(3 * time.Second)
		timer.stop()
		timer.start(10*time.Second, expire) // from 15 s, on the timer that fires at 22 s
		time.Sleep(30 * time.Second)
		synctest.Wait()
		c.Check(expired, qt.DeepEquals, []time.Duration{25 * time.Second})
		timer.start(10*time.Second, expire) // from 45 s
		timer.start(2*time.Second, expire)  // a shorter wait, as a new configuration sets
		time.Sleep(30 * time.Second)
		synctest.Wait()
		c.Check(expired, qt.DeepEquals, []time.Duration{25 * time.Second, 47 * time.Second})
		timer.start(10*time.Second, expire) // from 75 s
		timer.expireNow()
		timer.expireNow()
		c.Check(expired, qt.HasLen, 3)
	})
}

// Guards against a response that fails at the write deadline of an earlier response on the
// same connection, and against a response without a deadline.
func TestWriteDeadlineEndsWithItsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		caller, socket := net.Pipe()
		defer caller.Close()
		conn := &resetConn{Conn: socket}
		defer socket.Close()
		c.Assert(conn.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		c.Assert(conn.SetWriteDeadline(time.Time{}), qt.IsNil)
		time.Sleep(2 * time.Second)
		go func() { _, _ = caller.Read(make([]byte, 1)) }()
		_, err := conn.Write([]byte("1"))
		c.Check(err, qt.IsNil)
		c.Assert(conn.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
		_, err = conn.Write([]byte("2")) // nobody reads it
		c.Check(isTimeout(err), qt.IsTrue, qt.Commentf("%v", err))
	})
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
