package pipelining

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"
)

// reportAbandoned reports the requests that were read and not served when the connection
// closes. The caller holds c.mu.
func (c *Conn) reportAbandoned() {
	if c.closed || c.closing || c.readErr != nil || c.handlers.Abandoned == nil {
		return
	}
	for _, early := range c.queue {
		c.handlers.Abandoned(early.request, c.waitingSince)
	}
	for _, r := range c.completeRequests() {
		c.handlers.Abandoned(r, c.waitingSince)
	}
}

// completeRequests returns the requests in the bytes that were received and not accounted
// for. The caller holds c.mu.
func (c *Conn) completeRequests() []*http.Request {
	waiting := c.split.pending
	if c.split.gaveUp {
		waiting = c.unread
	}
	if c.split.skip > 0 || c.split.chunked || len(waiting) == 0 {
		return nil
	}
	var complete []*http.Request
	reader := bufio.NewReader(bytes.NewReader(waiting))
	for len(complete) < MaxAhead {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return complete
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return complete
		}
		complete = append(complete, r)
	}
	return complete
}

// noteWaiting updates waitingSince after a change of what was received. The caller holds
// c.mu.
func (c *Conn) noteWaiting() {
	switch {
	case len(c.queue) == 0 && len(c.unread) == 0 && !c.split.hasUnaccounted():
		c.waitingSince = time.Time{}
	case c.waitingSince.IsZero():
		c.waitingSince = time.Now()
	}
}
