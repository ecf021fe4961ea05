package objects

import (
	"context"
	"io"
	"time"
)

// maxResponseTimeouts is the number of timeouts that a response may take while
// parts of it keep arriving. It ends a response that would trickle in forever.
const maxResponseTimeouts = 16

// progress cancels a call whose response does not begin in time, or stalls.
//
// A fixed timeout for the whole call would fail for a large object on a slow link
// to the platform: each response would take longer than the timeout, be cut off
// and be requested again, forever, and no node would ever read the object.
type progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// stallTimeout is the maximum time between two parts of a response.
	stallTimeout time.Duration
}

// startProgress returns a progress that cancels its context unless the response
// begins to arrive within wait.
func startProgress(ctx context.Context, wait, stallTimeout time.Duration) *progress {
	p := &progress{stallTimeout: stallTimeout}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(wait, func() { p.cancel(context.DeadlineExceeded) })
	return p
}

func (p *progress) stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// wrap returns a reader of body that restarts the timer whenever data arrives.
func (p *progress) wrap(body io.Reader) io.Reader { return &progressReader{body: body, progress: p} }

type progressReader struct {
	body     io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r *progressReader) Read(to []byte) (int, error) {
	n, err := r.body.Read(to)
	// If the timer has already fired, the call is cancelled and stays so.
	if n > 0 && r.progress.timer.Stop() {
		r.progress.timer.Reset(r.progress.stallTimeout)
	}
	return n, err
}
