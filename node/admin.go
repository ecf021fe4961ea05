package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"pollengauge.dev/call"
	"pollengauge.dev/config"
	"pollengauge.dev/observe"
)

// Paths of the admin API.
const (
	PathAnnounce = "/v1/announce"
	PathStatus   = "/v1/status"
	PathExplain  = "/v1/explain"
	PathHops     = "/v1/hops"
	PathDrain    = "/v1/drain"
	PathFates    = "/v1/fates"
	PathKey      = "/v1/key"
	PathConfig   = "/v1/config"
	// PathQuarantine lists quarantined requests, PathClear releases one of them.
	PathQuarantine = "/v1/quarantine"
	PathClear      = "/v1/quarantine/clear"
	// PathCustomers lists the customers and their use of their limits.
	PathCustomers = "/v1/customers"
	PathMetrics   = "/metrics"
	PathHealth    = "/healthz"
)

const maxAdminBody = 64 << 10

// ExplainRequest selects the recorded hops of one request.
type ExplainRequest struct{ Request string }

// ExplainResponse lists hops in order of time.
type ExplainResponse struct {
	Hops []observe.Hop `json:"hops"`
}

// HopsRequest selects recent hops.
type HopsRequest struct {
	Filter observe.Filter
	Limit  int
}

// DrainRequest begins or cancels a drain. Exit also stops the process once the last call
// in flight has ended.
type DrainRequest struct {
	Draining bool `json:"draining"`
	Exit     bool `json:"exit,omitempty"`
}

// DrainResponse reports the progress of a drain.
type DrainResponse struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"inFlight"`
}

// KeyResponse carries a minted idempotency key.
type KeyResponse struct {
	Key string `json:"key"`
}

// ConfigResponse reports the configuration in force on this node.
type ConfigResponse struct {
	Version  uint64     `json:"version"`
	ChangeID string     `json:"changeId"`
	Hash     string     `json:"hash"`
	Source   string     `json:"source"`
	Heard    bool       `json:"heard"`
	Set      config.Set `json:"set"`
}

type empty struct{}

// adminHandler returns the handler of the API for operators and the upstream.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+PathAnnounce, n.adminServer(n.announceEndpoint(), decodeJSON[Announcement]))
	mux.Handle("GET "+PathStatus, n.adminServer(n.statusEndpoint(), decodeEmpty))
	mux.Handle("GET "+PathExplain, n.adminServer(n.explainEndpoint(), decodeExplain))
	mux.Handle("GET "+PathHops, n.adminServer(n.hopsEndpoint(), decodeHops))
	mux.Handle("POST "+PathDrain, n.adminServer(n.drainEndpoint(), decodeJSON[DrainRequest]))
	mux.Handle("GET "+PathFates, n.adminServer(n.fatesEndpoint(), decodeFates))
	mux.Handle("GET "+PathQuarantine, n.adminServer(n.quarantineEndpoint(), decodeQuarantine))
	mux.Handle("POST "+PathClear, n.adminServer(n.clearEndpoint(), decodeJSON[ClearRequest]))
	mux.Handle("GET "+PathCustomers, n.adminServer(n.customersEndpoint(), decodeEmpty))
	mux.Handle("POST "+PathKey, n.adminServer(n.keyEndpoint(), decodeEmpty))
	mux.Handle("GET "+PathConfig, n.adminServer(n.configEndpoint(), decodeEmpty))
	mux.Handle("GET "+PathMetrics, n.MetricsHandler())
	mux.HandleFunc("GET "+PathHealth, n.serveHealth)
	return http.MaxBytesHandler(mux, maxAdminBody)
}

func (n *Node) adminServer(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(n.encodeAdminError))
}

func (n *Node) announceEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return empty{}, n.Announce(request.(Announcement))
	}
}

func (n *Node) statusEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return n.Status(), nil }
}

func (n *Node) explainEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return ExplainResponse{Hops: n.ring.Find(request.(ExplainRequest).Request)}, nil
	}
}

func (n *Node) hopsEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(HopsRequest)
		return ExplainResponse{Hops: n.ring.Recent(req.Filter, req.Limit)}, nil
	}
}

func (n *Node) drainEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(DrainRequest)
		n.SetDraining(req.Draining)
		if req.Draining && req.Exit {
			n.requestExit()
		}
		return DrainResponse{Draining: n.draining.Load(), InFlight: n.gate.InFlight()}, nil
	}
}

func (n *Node) keyEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return KeyResponse{Key: n.mint()}, nil }
}

func (n *Node) configEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		status := n.config.Status()
		return ConfigResponse{
			Version:  status.Version,
			ChangeID: status.ChangeID,
			Hash:     status.Hash,
			Source:   string(status.Source),
			Heard:    status.HasStoredSet,
			Set:      n.config.Current().Set(),
		}, nil
	}
}

// serveHealth responds with 200 while the node accepts new work and with 503 while it
// drains.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if n.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return empty{}, nil }

// decodeJSON reads one JSON value of type T and rejects unknown fields.
func decodeJSON[T any](_ context.Context, r *http.Request) (any, error) {
	var value T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return nil, &BodyError{Cause: err}
	}
	return value, nil
}

func decodeExplain(_ context.Context, r *http.Request) (any, error) {
	id := r.URL.Query().Get("request")
	if id == "" {
		return nil, &SettingError{Name: "request", Value: id, Allowed: "a request id"}
	}
	return ExplainRequest{Request: call.ShortID(id)}, nil
}

const maxHops = 1000

func decodeHops(_ context.Context, r *http.Request) (any, error) {
	query := r.URL.Query()
	req := HopsRequest{Limit: 100, Filter: observe.Filter{
		Profile:  query.Get("profile"),
		Decision: observe.Decision(query.Get("decision")),
		Outcome:  query.Get("outcome"),
		Reason:   reasonOf(query.Get("reason")),
		Kind:     observe.Kind(query.Get("kind")),
	}}
	if limit := query.Get("limit"); limit != "" {
		count, err := strconv.Atoi(limit)
		if err != nil || count < 1 || count > maxHops {
			return nil, &SettingError{Name: "limit", Value: limit, Allowed: "1 to " + strconv.Itoa(maxHops)}
		}
		req.Limit = count
	}
	return req, nil
}

// AdminError is the JSON body of a failed admin call.
type AdminError struct {
	Error    string          `json:"error"`
	Problems []*SettingError `json:"problems,omitempty"`
}

func (n *Node) encodeAdminError(_ context.Context, err error, w http.ResponseWriter) {
	body := AdminError{Error: err.Error()}
	status := http.StatusInternalServerError
	var settings *SettingsError
	var setting *SettingError
	var bad *BodyError
	var tooLarge *http.MaxBytesError
	var unstored *DepartureUnstoredError
	switch {
	case errors.As(err, &settings):
		body.Problems = settings.Problems
		status = http.StatusUnprocessableEntity
	case errors.As(err, &setting):
		body.Problems = []*SettingError{setting}
		status = http.StatusUnprocessableEntity
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &bad):
		status = http.StatusBadRequest
	case errors.As(err, &unstored):
		status = http.StatusServiceUnavailable
	}
	event := observe.BadRequest
	if tooLarge != nil {
		event = observe.TooLarge
	}
	n.log.Emit(event, observe.Str("listener", string(AdminListener)), observe.Err(err))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
