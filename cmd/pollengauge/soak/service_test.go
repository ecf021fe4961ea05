package soak

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// replaceUpstream crashes the upstream of a VM and gives its address to one of another service,
// which the settings then name.
func (f *fleet) replaceUpstream(ctx context.Context, v *vm, service string) error {
	v.upstream.crash()
	next := f.newUpstream(v, service)
	next.starts = v.upstream.starts
	v.upstream = next
	if err := next.start(); err != nil {
		return err
	}
	f.done.Go(func() { next.sendHeartbeats(ctx) })
	if err := v.writeSettings(next.starts); err != nil {
		return err
	}
	v.signal(syscall.SIGHUP, false)
	return nil
}

// askUntilRun sends requests to a path through a VM until its upstream, of the given service, has
// run one.
func (f *fleet) askUntilRun(ctx context.Context, v *vm, path, service string) error {
	client := directClient()
	defer client.CloseIdleConnections()
	return await(ctx, func() bool {
		f.exchange(ctx, v, client, sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, path: path, origin: service}, customerDeadline)
		f.record.mu.Lock()
		defer f.record.mu.Unlock()
		return slices.ContainsFunc(f.record.runs, func(x run) bool {
			return x.executed && x.vm == v.number && x.service == service && x.instance == v.upstream.instance
		})
	})
}

// Guards against requests that run at an upstream of another service which was given the address
// of a crashed one, and against such an upstream that gets no requests until the node's process
// is restarted. The address changes its service twice.
func TestAddressChangesItsService(t *testing.T) {
	c := qt.New(t)
	f, err := newFleet(t.Context(), c.TempDir(), len(services)+1, fleetTerms(false, len(services)+1))
	defer f.close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Assert(err, qt.IsNil)
	other := f.vms[len(services)]
	c.Assert(other.upstream.service, qt.Equals, "web")
	c.Assert(f.askUntilRun(ctx, other, pathBrowse+"a", "web"), qt.IsNil)
	for _, change := range []struct{ service, path string }{{"stock", pathLook + "a"}, {"web", pathBrowse + "b"}} {
		c.Assert(f.replaceUpstream(ctx, other, change.service), qt.IsNil)
		c.Assert(f.askUntilRun(ctx, other, change.path, change.service), qt.IsNil, qt.Commentf("%s", change.service))
		c.Check(logged(other.log, "name=service-changed"), qt.IsTrue)
	}
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	c.Check(f.record.exits, qt.HasLen, 0)
	for _, x := range f.record.runs {
		allowed := f.terms.allowed[prefixOf(x.path)]
		c.Check(!x.executed || len(allowed) == 1 && allowed[0] == x.service, qt.IsTrue, qt.Commentf("%s at %s", x.path, x.service))
	}
}
