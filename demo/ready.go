package demo

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"pollengauge.dev/call"
	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/objects"
)

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// awaitReady waits until a repeatable route of every service can be called
// from every VM.
func (f *fleet) awaitReady(ctx context.Context, system fabric) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range f.all() {
		group.Go(func() error { return f.awaitCalls(ctx, v, system.outbound(v)) })
	}
	return group.Wait()
}

// awaitCalls waits until v can call every service through the outbound address.
func (f *fleet) awaitCalls(ctx context.Context, v *vm, outbound string) error {
	for service, routes := range f.deployment.Graph {
		for {
			problem := f.probe(ctx, outbound, service, repeatable(routes))
			if problem == "" {
				break
			}
			if ctx.Err() != nil {
				return &ReadyError{System: service, Reason: "call from " + v.service.Name + "/" + strconv.Itoa(v.replica) + ": " + problem}
			}
			objects.Pause(ctx, readyPoll)
		}
	}
	return nil
}

// repeatable returns the name of a route that a probe may call because it isn't
// a Once route. It returns "" if there is none.
func repeatable(routes upstream.Routes) string {
	for name, route := range routes {
		if !route.Once {
			return name
		}
	}
	return ""
}

// probeStamp is the stamp of probes, which belong to no operation of the load.
var probeStamp = upstream.Stamp{Operation: "probe", Try: 1}

// probe calls a route once. It returns "" if the call succeeded, otherwise the
// reason of the failure.
func (f *fleet) probe(ctx context.Context, addr, service, route string) string {
	if route == "" {
		return ""
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/"+route, nil)
	if err != nil {
		return err.Error()
	}
	req.Host = service
	req.Header.Set(upstream.HeaderOperation, probeStamp.String())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Status + " " + resp.Header.Get(call.HeaderReason) + " at " + resp.Header.Get(call.HeaderHop)
	}
	return ""
}
