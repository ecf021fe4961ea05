package objects

import (
	"context"
	"io"
	"time"
)

// longestAnswer is how many timeouts an answer that goes on arriving may take. It
// ends one that would drip for ever.
const longestAnswer = 16

// progress ends a call that waits: for the begin of its answer, or for more of it.
//
// The failure: an object has grown long and the link to the platform is narrow. Its
// answer takes longer than a call may, is cut off and asked for anew, for ever, and
// no node ever reads the object.
type progress struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// pause is the longest time without more of an answer that has begun.
	pause time.Duration
}

// startProgress gives a call wait until its answer begins to arrive.
func startProgress(ctx context.Context, wait, pause time.Duration) *progress {
	p := &progress{pause: pause}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(wait, func() { p.cancel(context.DeadlineExceeded) })
	return p
}

func (p *progress) end() {
	p.timer.Stop()
	p.cancel(nil)
}

// watch returns a reader that notes what arrives.
func (p *progress) watch(body io.Reader) io.Reader { return &progressReader{body: body, progress: p} }

type progressReader struct {
	body     io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r *progressReader) Read(to []byte) (int, error) {
	n, err := r.body.Read(to)
	// A timer that has fired has ended the call.
	if n > 0 && r.progress.timer.Stop() {
		r.progress.timer.Reset(r.progress.pause)
	}
	return n, err
}
