package objects

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// maxPages is the maximum number of pages that one List reads. Stores return
// hundreds of objects per page.
const maxPages = 256

// Client is a Store that calls the platform's object API over HTTP. All methods
// may be called concurrently.
type Client struct {
	options  Options
	base     string
	http     *http.Client
	reads    *budget
	writes   *budget
	counters counters
	era      eraTracker
}

var (
	_ Store         = (*Client)(nil)
	_ RelaxedReader = (*Client)(nil)
	_ EraReporter   = (*Client)(nil)
)

// NewClient returns a client. It makes no call, so it also succeeds while the
// platform is down. It returns an *InvalidError for a malformed option.
func NewClient(options Options) (*Client, error) {
	options = options.withDefaults()
	base, err := options.base()
	if err != nil {
		return nil, err
	}
	return &Client{
		options: options,
		base:    base,
		http:    newHTTPClient(options),
		reads:   newBudget(options.ReadRate, options.MaxReadRate, options.Burst),
		writes:  newBudget(options.WriteRate, options.MaxWriteRate, options.Burst),
	}, nil
}

// Close closes idle connections. Calls in flight continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Stats returns a snapshot of the counters.
func (c *Client) Stats() Stats { return c.counters.snapshot() }

// Era implements EraReporter.
func (c *Client) Era() uint64 { return c.era.era() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, Query{Op: OpGet, Kind: kind, Name: name})
}

// GetRelaxed implements RelaxedReader.
func (c *Client) GetRelaxed(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, Query{Op: OpGet, Kind: kind, Name: name, Relaxed: true})
}

func (c *Client) get(ctx context.Context, q Query) (Object, error) {
	if err := CheckAddress(q.Kind, q.Name); err != nil {
		return Object{}, err
	}
	return c.exchangeObject(ctx, q)
}

// exchangeObject makes a call whose response contains one object, and returns the
// object.
func (c *Client) exchangeObject(ctx context.Context, q Query) (Object, error) {
	return runCall(c, q, func() (Object, error) {
		a, r, err := c.exchange(ctx, q, c.options.Timeout)
		if err != nil {
			return Object{}, err
		}
		return q.object(a, r)
	})
}

// List implements Store. Each page counts as one call against the read budget.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, uint64, error) {
	return c.list(ctx, Query{Op: OpList, Kind: kind, prefix: prefix})
}

// ListRelaxed implements RelaxedReader.
func (c *Client) ListRelaxed(ctx context.Context, kind, prefix string) ([]Object, error) {
	found, _, err := c.list(ctx, Query{Op: OpList, Kind: kind, prefix: prefix, Relaxed: true})
	return found, err
}

func (c *Client) list(ctx context.Context, q Query) ([]Object, uint64, error) {
	if err := CheckKind(q.Kind); err != nil {
		return nil, 0, err
	}
	if err := CheckPrefix(q.prefix); err != nil {
		return nil, 0, err
	}
	var all []Object
	var first uint64
	for page := range maxPages {
		got, err := runCall(c, q, func() (listPage, error) { return c.listPage(ctx, q) })
		if err != nil {
			return nil, 0, err
		}
		// Pages may be read at different revisions. Watching from the revision
		// of the first page repeats a few events; watching from that of a later
		// page would miss changes to objects on the pages read before it.
		if page == 0 {
			first = got.revision
		}
		all = append(all, got.objects...)
		if got.next == "" {
			return all, first, nil
		}
		q.After = got.next
	}
	return nil, 0, &TooLargeError{What: "list", Size: maxPages + 1, Limit: maxPages, Unit: "pages"}
}

type listPage struct {
	objects  []Object
	revision uint64
	// next is the name after which the next page starts, "" if there is none.
	next string
}

func (c *Client) listPage(ctx context.Context, q Query) (listPage, error) {
	a, r, err := c.exchange(ctx, q, c.options.Timeout)
	if err != nil {
		return listPage{}, err
	}
	matching, err := q.page(a, r)
	if err != nil {
		return listPage{}, err
	}
	page := listPage{objects: matching, revision: r.Revision}
	if r.More {
		page.next = r.Objects[len(r.Objects)-1].Name
	}
	return page, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return c.put(ctx, Query{Op: OpCreate, Kind: kind, Name: name, Value: value})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	if err := CheckVersion(o.Version); err != nil {
		return Object{}, err
	}
	q := Query{Op: OpUpdate, Kind: o.Kind, Name: o.Name, Expected: o.Version, ExpectedEra: o.Era, Value: o.Value}
	if known := c.Era(); q.ExpectedEra != 0 && q.ExpectedEra != known {
		return Object{}, c.withCurrent(ctx, &ConflictError{Op: q.Op, Kind: q.Kind, Name: q.Name, Expected: q.Expected})
	}
	return c.put(ctx, q)
}

func (c *Client) put(ctx context.Context, q Query) (Object, error) {
	if err := CheckAddress(q.Kind, q.Name); err != nil {
		return Object{}, err
	}
	if err := CheckValue(q.Value); err != nil {
		return Object{}, err
	}
	o, err := c.exchangeObject(ctx, q)
	if conflict, ok := err.(*ConflictError); ok && conflict.Current.Version == 0 {
		return Object{}, c.withCurrent(ctx, conflict)
	}
	if err == nil {
		o.Value = q.Value
	}
	return o, err
}

// withCurrent reads the stored object and adds it to a conflict whose response did
// not contain it. Callers need the object to find out which writer won. If the
// read fails, withCurrent returns the read's error, which is safe because the
// write itself changed nothing.
func (c *Client) withCurrent(ctx context.Context, conflict *ConflictError) error {
	current, err := c.Get(ctx, conflict.Kind, conflict.Name)
	if _, gone := err.(*NotFoundError); gone {
		return conflict
	}
	if err != nil {
		return err
	}
	conflict.Current = current
	return conflict
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	if err := CheckAddress(kind, name); err != nil {
		return err
	}
	if err := CheckVersion(version); err != nil {
		return err
	}
	q := Query{Op: OpDelete, Kind: kind, Name: name, Expected: version}
	_, err := runCall(c, q, func() (Reply, error) {
		_, r, err := c.exchange(ctx, q, c.options.Timeout)
		return r, err
	})
	return err
}

// watchWait returns how long the next watch waits: Options.WatchWait or, chosen
// at random, Options.ShortWatchWait.
func (c *Client) watchWait() time.Duration {
	short, long := c.options.ShortWatchWait, c.options.WatchWait
	if short > 0 && rand.Int64N(int64(short+long)) < int64(long) {
		return short
	}
	return c.options.WatchWait
}

// Watch implements Store. It waits for events for up to Options.WatchWait.
func (c *Client) Watch(ctx context.Context, kind string, from uint64) ([]Event, uint64, error) {
	if err := CheckKind(kind); err != nil {
		return nil, 0, err
	}
	wait := c.watchWait()
	q := Query{Op: OpWatch, Kind: kind, From: from, Wait: wait}
	next := from
	events, err := runCall(c, q, func() ([]Event, error) {
		a, r, err := c.exchange(ctx, q, wait+c.options.Timeout)
		if err != nil {
			return nil, err
		}
		next = r.Revision
		return q.events(a, r)
	})
	if err != nil {
		return nil, from, err
	}
	c.counters.events.Add(uint64(len(events)))
	return events, next, nil
}

// runCall runs one call and counts its error. A write whose response is malformed
// becomes an *AmbiguousError, because such a response does not prove whether the
// write took effect. A response with status 429 reduces the call budget.
func runCall[T any](c *Client, q Query, run func() (T, error)) (T, error) {
	result, err := run()
	if err == nil {
		return result, nil
	}
	if _, malformed := err.(*ProtocolError); malformed && q.Op.Writes() {
		err = q.ambiguous(err)
	}
	c.counters.failed(err)
	if isTooManyRequests(err) {
		c.budget(q.Op).reduce(time.Now())
	}
	return result, err
}

func (q Query) ambiguous(cause error) error {
	return &AmbiguousError{Op: q.Op, Kind: q.Kind, Name: q.Name, Expected: q.Expected, Cause: cause}
}
