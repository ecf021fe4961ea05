package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollengauge.dev/demo/upstream"
	"pollengauge.dev/objects"
)

// Edges returns the addresses of the edges that currently accept clients of a
// service.
type Edges func(service string) []string

// Runner sends the arrivals of a plan to the edges of a system.
type Runner struct {
	Classes []Class
	// Edges returns the edge addresses of a class's service. It is called for
	// every try.
	Edges Edges
	// MintPath is the path at which an edge mints idempotency keys. It is ""
	// if the system mints none; classes with MintedKey then send no key.
	MintPath string
	// Delay is the one-way network delay between clients and the system.
	Delay time.Duration
	// MaxInFlight is the maximum number of operations in flight. Operations
	// beyond it are recorded as unknown without being sent: the limit protects
	// the machine that sends the load, and a system that lets the load reach
	// it has failed.
	MaxInFlight int
	// Dial opens connections to edges; nil means plain TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	start  time.Time
	client *http.Client
}

const maxIdleConns = 512

// Run sends every arrival at its planned time and returns the records in the
// order of the plan. When ctx ends, operations not yet sent are recorded as
// unknown.
func (r *Runner) Run(ctx context.Context, plan []Arrival) []Record {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, DialContext: r.Dial}
	r.client = &http.Client{Transport: transport}
	defer transport.CloseIdleConnections()
	r.start = time.Now()
	records := make([]Record, len(plan))
	inFlight := make(chan struct{}, r.MaxInFlight)
	var group sync.WaitGroup
	for i, arrival := range plan {
		objects.Pause(ctx, arrival.At-time.Since(r.start))
		records[i] = Record{Arrival: arrival}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			r.operation(ctx, &records[i])
			<-inFlight
		})
	}
	group.Wait()
	return records
}

// operation runs one operation to its end, including the client's retries.
func (r *Runner) operation(ctx context.Context, record *Record) {
	class := &r.Classes[record.Class]
	random := rand.New(rand.NewPCG(xxhash.Sum64String(record.Operation), 0))
	key := r.key(ctx, class, record.Operation, random)
	for try := 1; try <= class.Retry.Tries && ctx.Err() == nil; try++ {
		t := Try{Sent: time.Since(r.start)}
		if addr := r.pick(class.Target.Service, random); addr != "" {
			t = r.attempt(ctx, class, addr, key, upstream.Stamp{Operation: record.Operation, Try: try})
		}
		record.Tries = append(record.Tries, t)
		if t.Result >= Failed {
			break
		}
		if try < class.Retry.Tries {
			objects.Pause(ctx, class.Retry.wait(t))
		}
	}
	record.Result = record.last().Result
	record.Latency = time.Since(r.start) - record.At
}

// wait returns the time that a client waits before its next try.
func (p Retrying) wait(t Try) time.Duration {
	switch {
	case p.Hard:
		return 0
	case t.RetryAfter > 0:
		return t.RetryAfter
	default:
		return p.Backoff
	}
}

func (r *Runner) pick(service string, random *rand.Rand) string {
	addrs := r.Edges(service)
	if len(addrs) == 0 {
		return ""
	}
	return addrs[random.IntN(len(addrs))]
}

// mintTries is the maximum number of requests for one key.
const mintTries = 3

// key returns the operation's idempotency key, or "" if it has none. A client
// that can't get a minted key sends the operation without a key; the system
// then refuses the operation if its profile requires a key.
func (r *Runner) key(ctx context.Context, class *Class, operation string, random *rand.Rand) string {
	switch class.Key {
	case OwnKey:
		return operation + "-" + strconv.FormatInt(r.start.UnixNano(), keyBase)
	case MintedKey:
		for range mintTries {
			if key, err := r.mint(ctx, class, r.pick(class.Target.Service, random)); err == nil {
				return key
			}
		}
	}
	return ""
}

const keyBase = 36

func (r *Runner) mint(ctx context.Context, class *Class, addr string) (string, error) {
	if r.MintPath == "" {
		return "", &KeyError{Addr: addr}
	}
	ctx, cancel := context.WithTimeout(ctx, class.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+r.MintPath, nil)
	if err != nil {
		return "", &KeyError{Addr: addr, Err: err}
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "", &KeyError{Addr: addr, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", &KeyError{Addr: addr, Err: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return "", &KeyError{Addr: addr, Status: resp.StatusCode}
	}
	return mintedKey(body)
}

// items is the number of distinct items that operations request. It is large
// enough that a stored answer seldom matches a customer's next request.
const items = 40

// itemOf returns the item that an operation requests.
func itemOf(operation string) string {
	return strconv.FormatUint(xxhash.Sum64String(operation)/callers%items, decimal)
}

// callers is the number of distinct customers that send requests.
const callers = 50

// callerOf returns the credentials of the customer that sends an operation.
func callerOf(operation string) string {
	return "Bearer caller-" + strconv.FormatUint(xxhash.Sum64String(operation)%callers, decimal)
}

// sameCallerAndItem reports whether two operations of a class have the same caller
// and the same item.
func sameCallerAndItem(a, b string) bool { return callerOf(a) == callerOf(b) && itemOf(a) == itemOf(b) }

const decimal = 10
