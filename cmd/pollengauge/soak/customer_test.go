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

// Habits of customers.
const (
	customerDeadline = 2500 * time.Millisecond
	// hasteShare leaves before its deadline.
	hasteShare = 0.03
	haste      = 30 * time.Millisecond
	probeEvery = 40 * time.Millisecond
	// addedShare of the repeatable requests go to added routes, once there are.
	addedShare = 0.4
)

// customer sends requests to one VM on one connection until ctx ends.
func (f *fleet) customer(ctx context.Context, v *vm, think time.Duration) {
	client := directClient()
	for ctx.Err() == nil {
		f.visit(ctx, v, client)
		pause(ctx, think/2+rand.N(think))
	}
}

// visit makes one request, and once more if the answer allows it.
func (f *fleet) visit(ctx context.Context, v *vm, client *http.Client) {
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
	if rand.Float64() < hasteShare {
		wait = haste
	}
	return f.exchange(ctx, v, client, s, wait)
}

// exchange sends a request and records it and its answer.
func (f *fleet) exchange(ctx context.Context, v *vm, client *http.Client, s sent, wait time.Duration) answered {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// The reader has no type that the transport knows, so it never sends the
	// body again by itself.
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
	s.claim(req.Header)
	req.Header.Set(headerID, s.id)
	req.Header.Set(headerTimeout, strconv.FormatInt(wait.Milliseconds(), 10))
	add(f.record, &f.record.sent, s)
	a := ask(client, req, s.id, v.number)
	add(f.record, &f.record.answers, a)
	return a
}

// prober asks one request after another on the probe route. Those that were
// under way while the process ended tell of neither life.
func (f *fleet) prober(ctx context.Context, v *vm) {
	client := directClient()
	for ctx.Err() == nil {
		life := v.life()
		s := sent{id: newID(), vm: v.number, at: time.Now(), method: http.MethodGet, origin: v.upstream.service}
		s.path = pathProbe + s.id
		a := f.exchange(ctx, v, client, s, customerDeadline)
		if a.success() && v.life() == life {
			if service := f.serviceOf(s.id, a.signature); service != "" {
				add(f.record, &f.record.probes, probe{vm: v.number, incarnation: life, at: a.at, service: service})
			}
		}
		pause(ctx, probeEvery)
	}
}

// serviceOf tells which service gave a signature.
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

// load starts the customers of all VMs.
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
