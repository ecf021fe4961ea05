package node

import (
	"context"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"pollengauge.dev/quarantine"
)

// QuarantineRequest asks for the requests that are held back.
type QuarantineRequest struct {
	// Suspects asks for those as well under which one upstream has ended.
	Suspects bool
}

// QuarantineResponse lists them, those with most ends first.
type QuarantineResponse struct {
	Requests []HeldView `json:"requests"`
}

// ClearRequest lets a request run again.
type ClearRequest struct {
	// Fingerprint is the request's, 1 to 16 hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
}

// ClearResponse tells whether the node knew the request.
type ClearResponse struct {
	Cleared bool `json:"cleared"`
}

func (n *Node) quarantineEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return QuarantineResponse{Requests: n.HeldRequests(request.(QuarantineRequest).Suspects)}, nil
	}
}

// clearEndpoint answers false where the request is not known.
func (n *Node) clearEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		asked := request.(ClearRequest)
		f, err := quarantine.ParseFingerprint(asked.Fingerprint)
		if err != nil {
			return nil, &SettingError{Name: "fingerprint", Value: asked.Fingerprint, Allowed: "1 to 16 hexadecimal digits"}
		}
		return ClearResponse{Cleared: n.ClearHeld(f)}, nil
	}
}

// decodeQuarantine takes "suspects=1" to list the suspects as well.
func decodeQuarantine(_ context.Context, r *http.Request) (any, error) {
	return QuarantineRequest{Suspects: r.URL.Query().Get("suspects") != ""}, nil
}
