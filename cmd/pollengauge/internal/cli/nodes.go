package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"

	"pollengauge.dev/node"
	"pollengauge.dev/observe"
)

// maxResponseBytes is the most bytes read of one response. A thousand hops take about
// half a megabyte.
const maxResponseBytes = 16 << 20

// nodeClient is a client of the nodes' admin APIs.
type nodeClient struct {
	http    *http.Client
	timeout time.Duration
}

func newNodeClient(timeout time.Duration) *nodeClient {
	return &nodeClient{http: &http.Client{Transport: &http.Transport{}}, timeout: timeout}
}

func (c *nodeClient) close() { c.http.CloseIdleConnections() }

func (c *nodeClient) status(ctx context.Context, address string) (observe.NodeStatus, error) {
	return callNode[observe.NodeStatus](ctx, c, http.MethodGet, address, node.PathStatus, nil, nil)
}

func (c *nodeClient) config(ctx context.Context, address string) (node.ConfigResponse, error) {
	return callNode[node.ConfigResponse](ctx, c, http.MethodGet, address, node.PathConfig, nil, nil)
}

func (c *nodeClient) explain(ctx context.Context, address, request string) (node.ExplainResponse, error) {
	return callNode[node.ExplainResponse](ctx, c, http.MethodGet, address, node.PathExplain, url.Values{"request": {request}}, nil)
}

func (c *nodeClient) hops(ctx context.Context, address string, query url.Values) (node.ExplainResponse, error) {
	return callNode[node.ExplainResponse](ctx, c, http.MethodGet, address, node.PathHops, query, nil)
}

func (c *nodeClient) fates(ctx context.Context, address string, query url.Values) (node.FatesResponse, error) {
	return callNode[node.FatesResponse](ctx, c, http.MethodGet, address, node.PathFates, query, nil)
}

func (c *nodeClient) quarantine(ctx context.Context, address string, suspects bool) (node.QuarantineResponse, error) {
	query := url.Values{}
	if suspects {
		query.Set("suspects", "1")
	}
	return callNode[node.QuarantineResponse](ctx, c, http.MethodGet, address, node.PathQuarantine, query, nil)
}

func (c *nodeClient) customers(ctx context.Context, address string) (node.CustomersResponse, error) {
	return callNode[node.CustomersResponse](ctx, c, http.MethodGet, address, node.PathCustomers, nil, nil)
}

func (c *nodeClient) clear(ctx context.Context, address string, request node.ClearRequest) (node.ClearResponse, error) {
	return callNode[node.ClearResponse](ctx, c, http.MethodPost, address, node.PathClear, nil, request)
}

func (c *nodeClient) drain(ctx context.Context, address string, request node.DrainRequest) (node.DrainResponse, error) {
	return callNode[node.DrainResponse](ctx, c, http.MethodPost, address, node.PathDrain, nil, request)
}

func (c *nodeClient) key(ctx context.Context, address string) (node.KeyResponse, error) {
	return callNode[node.KeyResponse](ctx, c, http.MethodPost, address, node.PathKey, nil, struct{}{})
}

// callNode sends one request to a node's admin API and decodes its JSON response. A
// failure is a *NodeError or a *ResponseError.
func callNode[T any](ctx context.Context, c *nodeClient, method, address, path string, query url.Values, body any) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	decode := func(_ context.Context, resp *http.Response) (any, error) { return decodeResponse[T](address, resp) }
	answer, err := kithttp.NewClient(method, target, encodeBody, decode, kithttp.SetClient(c.http)).Endpoint()(ctx, body)
	if err == nil {
		return answer.(T), nil
	}
	if refused := (*ResponseError)(nil); errors.As(err, &refused) {
		return zero, refused
	}
	return zero, &NodeError{Node: address, Cause: err}
}

func encodeBody(ctx context.Context, r *http.Request, body any) error {
	if body == nil {
		return nil
	}
	return kithttp.EncodeJSONRequest(ctx, r, body)
}

func decodeResponse[T any](address string, resp *http.Response) (any, error) {
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode != http.StatusOK {
		var failed node.AdminError
		_ = json.NewDecoder(body).Decode(&failed) // the status is enough if there is no error text
		return nil, &ResponseError{Node: address, Status: resp.StatusCode, Detail: failed.Error}
	}
	var value T
	if err := json.NewDecoder(body).Decode(&value); err != nil {
		return nil, &ResponseError{Node: address, Status: resp.StatusCode, Detail: "response is not the JSON of an admin API: " + err.Error()}
	}
	return value, nil
}

// maxConcurrentQueries is the maximum number of concurrent requests to nodes.
const maxConcurrentQueries = 64

// reply is the result of querying one node.
type reply[T any] struct {
	node  string
	value T
	err   error
}

// queryAll queries the nodes concurrently, at most maxConcurrentQueries at a time,
// and returns their replies in the order of addresses.
func queryAll[T any](addresses []string, query func(address string) (T, error)) []reply[T] {
	replies := make([]reply[T], len(addresses))
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			value, err := query(address)
			replies[i] = reply[T]{node: address, value: value, err: err}
		})
	}
	group.Wait()
	return replies
}

// split separates the values from the nodes that failed. If any failed, err is an
// *UnreachableError with all failures.
func split[T any](replies []reply[T]) (values []T, unreachable []string, err error) {
	var failures []error
	for _, r := range replies {
		if r.err == nil {
			values = append(values, r.value)
			continue
		}
		unreachable = append(unreachable, r.node)
		failures = append(failures, r.err)
	}
	if len(failures) > 0 {
		err = &UnreachableError{Failures: failures}
	}
	return values, unreachable, err
}
