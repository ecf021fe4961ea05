package play

import (
	"context"
	"io"
	"net/http"
	"time"
)

// request is one request of a caller or an upstream to a node.
type request struct {
	path string
	id   string
	// timeout is told the node, 0 if there is none.
	timeout      time.Duration
	unrepeatable bool
}

// maxAnswer bounds what is read of one answer, in bytes.
const maxAnswer = 1 << 16

// noAnswer stands for the status where there is no whole answer.
const noAnswer = 0

// ask sends a request and reads its whole answer. The second result is how long
// to wait, if the answer tells.
func ask(ctx context.Context, transport *http.Transport, r request) (status int, retryAfter time.Duration) {
	method := http.MethodGet
	if r.unrepeatable {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+requestHost+r.path, nil)
	if err != nil {
		return noAnswer, 0
	}
	req.Header.Set(headerID, r.id)
	if r.timeout > 0 {
		req.Header.Set(headerTimeout, formatMillis(r.timeout))
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return noAnswer, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
		return noAnswer, 0
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get(headerEcho) != r.id {
		return noAnswer, 0
	}
	return resp.StatusCode, readMillis(resp.Header.Get(headerAfter))
}
