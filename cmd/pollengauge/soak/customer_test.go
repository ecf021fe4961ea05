package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Behaviour of the simulated customers.
const (
	customerDeadline = 2500 * time.Millisecond
	// hastyShare is the share of requests that customers give up after hastyDeadline
	// instead of customerDeadline.
	hastyShare    = 0.03
	hastyDeadline = 30 * time.Millisecond
	probeEvery    = 40 * time.Millisecond
	// addedShare is the share of safe requests that go to added routes once the
	// store has acknowledged some.
	addedShare = 0.4
)

// customer sends requests to one VM on one connection until ctx ends.
func (f *fleet) customer(ctx context.Context, v *vm, think time.Duration) {
	client := directClient()
	for ctx.Err() == nil {
		f.sendWithRetry(ctx, v, client)
		pause(ctx, think/2+rand.N(think))
	}
}

// sendWithRetry sends one request, and a second one if the first failed and its response
// allows a retry.
func (f *fleet) sendWithRetry(ctx context.Context, v *vm, client *http.Client) {
	unsafe := rand.IntN(3) == 0
	for range 2 {
		a := f.send(ctx, v, client, unsafe)
		if a.success() || ctx.Err() != nil || unsafe && !promisesNotRun(a.status) {
			return
		}
	}
}

func (f *fleet) send(ctx context.Context, v *vm, client *http.Client, unsafe bool) answered {
	s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, path: pathBrowse, unsafe: unsafe, origin: v.upstream.service}
	if added := int(f.operator.acknowledged.Load()); !unsafe && added > 0 && rand.Float64() < addedShare {
		s.path = addedPrefix(added - 1 - rand.IntN(added))
	}
	if unsafe {
		s.method, s.path = http.MethodPost, pathFile
		s.body = strings.Repeat(s.id, 1+rand.IntN(100))
	}
	s.path += s.id + "?q=1"
	wait := customerDeadline
	if rand.Float64() < hastyShare {
		wait = hastyDeadline
	}
	return f.exchange(ctx, v, client, s, wait)
}

// exchange sends a request and records the request and its response.
func (f *fleet) exchange(ctx context.Context, v *vm, client *http.Client, s sent, wait time.Duration) answered {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// net/http can replay a body only if it knows the reader's type. A
	// MultiReader hides the type, so the transport never resends the body.
	var body io.Reader
	if s.body != "" {
		body = io.MultiReader(strings.NewReader(s.body))
	}
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+v.at(portCustomerProxy)+s.path, body)
	if err != nil {
		f.fail(err)
		return answered{}
	}
	req.ContentLength = int64(len(s.body))
	req.Host = host
	if s.key == "" {
		s.chooseTenant()
	}
	s.setTenantHeaders(req.Header)
	req.Header.Set(headerID, s.id)
	req.Header.Set(headerTimeout, strconv.FormatInt(wait.Milliseconds(), 10))
	add(f.record, &f.record.sent, s)
	a := sendRequest(client, req, s.id, v.number)
	add(f.record, &f.record.answers, a)
	return a
}

// prober sends one request after another on the probe route. It drops responses
// that span a restart of the node's process, because they can't be attributed to
// either incarnation.
func (f *fleet) prober(ctx context.Context, v *vm) {
	client := directClient()
	for ctx.Err() == nil {
		before := v.currentIncarnation()
		s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, origin: v.upstream.service}
		s.path = pathProbe + s.id
		a := f.exchange(ctx, v, client, s, customerDeadline)
		if a.success() && v.currentIncarnation() == before {
			if service := f.serviceOf(s.id, a.signature); service != "" {
				add(f.record, &f.record.probes, probe{vm: v.number, incarnation: before, at: a.at, service: service})
			}
		}
		pause(ctx, probeEvery)
	}
}

// serviceOf returns the service whose run produced the signature, or "" if no
// such run is recorded.
func (f *fleet) serviceOf(id, signature string) string {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	for i := len(f.record.runs) - 1; i >= 0; i-- {
		if x := f.record.runs[i]; x.id == id && x.signature == signature {
			return x.service
		}
	}
	return ""
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// load starts the customers of all VMs, and the memory watch of each VM.
func (f *fleet) load(ctx context.Context, each int, think time.Duration) {
	for _, v := range f.vms {
		for range each {
			f.done.Go(func() { f.customer(ctx, v, think) })
		}
		f.done.Go(func() { f.prober(ctx, v) })
		f.done.Go(func() { f.pipeliner(ctx, v) })
		f.done.Go(func() { f.uploader(ctx, v) })
		f.done.Go(func() { f.mover(ctx, v) })
		f.done.Go(func() { f.watchMemory(ctx, v) })
	}
}
