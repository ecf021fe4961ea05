package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// upload sends a body as an unrepeatable request from the node's VM.
func (f *fleet) upload(n *Node, id string, body io.Reader, length int64) (int, error) {
	host := f.net.Host("caller")
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return host.Dial(ctx, n.Addr(OutboundListener))
	}}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://desk.example/file/scan", body)
	f.c.Assert(err, qt.IsNil)
	req.ContentLength = length
	req.Header.Set("X-Id", id)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// brokenBody returns an error instead of its end.
type brokenBody struct{ left int }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Two hundred callers upload scans at once. If the node buffered the complete bodies,
// they would exceed the memory that a VM gives its node, and the process would be
// killed with all its requests. Each upload may use the part that is buffered for
// another attempt, and some buffers.
func TestUploadsAreStreamed(t *testing.T) {
	const (
		uploads  = 200
		size     = 2 << 20
		heapMost = 150 << 20
	)
	inFleet(t, func(f *fleet) {
		var whole atomic.Int64
		var begun, all sync.WaitGroup
		begun.Add(uploads)
		goOn := make(chan struct{})
		n := f.addRouted("a", "desk", 2*uploads, func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			count, _ := io.CopyN(io.Discard, r.Body, 100<<10)
			begun.Done()
			<-goOn
			if rest, err := io.Copy(io.Discard, r.Body); err == nil && count+rest == size {
				whole.Add(1)
			}
			echo(w, r, call)
		}, func(s *Settings) { s.UpstreamConns = 2 * uploads })
		f.settle()
		before := heapInUse()
		for range uploads {
			all.Go(func() {
				status, err := f.upload(n, "up", io.LimitReader(zeros{}, size), size)
				f.c.Check(err, qt.IsNil)
				f.c.Check(status, qt.Equals, http.StatusOK)
			})
		}
		begun.Wait()
		time.Sleep(100 * time.Millisecond) // the callers send as much as the node accepts
		heapUsed := heapInUse() - before
		close(goOn)
		all.Wait()
		f.c.Check(whole.Load(), qt.Equals, int64(uploads))
		f.c.Check(heapUsed < heapMost, qt.IsTrue, qt.Commentf("%d MB", heapUsed>>20))
		t.Logf("%d MB of heap used for %d MB of bodies", heapUsed>>20, uploads*size>>20)
	})
}

// heapInUse returns the heap memory in use, in bytes.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A caller breaks off in the middle of its upload. The upstream must not take the
// first half for the complete body, and no other upstream may get it.
func TestTruncatedUploadIsNeverComplete(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var runs, whole atomic.Int64
		upstream := func(w http.ResponseWriter, r *http.Request, call func(string, string, string) (*http.Response, error)) {
			runs.Add(1)
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				whole.Add(1)
			}
			echo(w, r, call)
		}
		n := f.addRouted("a", "desk", 4, upstream)
		f.addRouted("b", "desk", 4, upstream)
		f.settle()
		for _, length := range []int64{1 << 20, -1} { // with a length, and chunked
			runs.Store(0)
			_, err := f.upload(n, "up", &brokenBody{left: 300 << 10}, length)
			f.c.Check(err, qt.IsNotNil)
			time.Sleep(time.Second)
			f.c.Check(runs.Load() <= 1, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
			f.c.Check(whole.Load(), qt.Equals, int64(0))
		}
	})
}

// An upstream fails after it has read a part of an upload. The node no longer has that
// part, and the upload may have run. If it were sent to the other upstream, it would
// run twice or arrive without its start.
func TestPartlyReadUploadsAreNotReplayed(t *testing.T) {
	inFleet(t, func(f *fleet) {
		var runs atomic.Int64
		upstream := func(_ http.ResponseWriter, r *http.Request, _ func(string, string, string) (*http.Response, error)) {
			runs.Add(1)
			_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
			panic(http.ErrAbortHandler)
		}
		n := f.addRouted("a", "desk", 4, upstream)
		f.addRouted("b", "desk", 4, upstream)
		f.settle()
		status, err := f.upload(n, "up", io.LimitReader(zeros{}, 1<<20), 1<<20)
		f.c.Check(err != nil || status == http.StatusBadGateway, qt.IsTrue, qt.Commentf("%d %v", status, err))
		time.Sleep(time.Second)
		f.c.Check(runs.Load(), qt.Equals, int64(1))
	})
}
