package node

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"pollengauge.dev/quarantine"
)

// QuarantineRequest selects the requests to list.
type QuarantineRequest struct {
	// Suspects also selects requests under which only one upstream has crashed.
	Suspects bool
}

// QuarantineResponse lists the requests, those with the most crashes first.
type QuarantineResponse struct {
	Requests []HeldView `json:"requests"`
}

// ClearRequest releases a request from quarantine.
type ClearRequest struct {
	// Fingerprint identifies the request, 1 to 16 hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
}

// ClearResponse reports whether the node knew the request.
type ClearResponse struct {
	Cleared bool `json:"cleared"`
}

func (n *Node) quarantineEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return QuarantineResponse{Requests: n.HeldRequests(request.(QuarantineRequest).Suspects)}, nil
	}
}

// clearEndpoint returns the endpoint that releases a request from quarantine. It responds
// with false if the request is unknown.
func (n *Node) clearEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		req := request.(ClearRequest)
		f, err := quarantine.ParseFingerprint(req.Fingerprint)
		if err != nil {
			return nil, &SettingError{Name: "fingerprint", Value: req.Fingerprint, Allowed: "1 to 16 hexadecimal digits"}
		}
		return ClearResponse{Cleared: n.ClearHeld(f)}, nil
	}
}

// decodeQuarantine reads the query: with "suspects=1" the suspects are listed as well.
func decodeQuarantine(_ context.Context, r *http.Request) (any, error) {
	return QuarantineRequest{Suspects: r.URL.Query().Get("suspects") != ""}, nil
}
