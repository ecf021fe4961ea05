package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/observe"
)

// FatesRequest requests the fates of the keys that this node owns, and of the calls
// that this node saw end with an unknown outcome and whose key's owner is gone.
type FatesRequest struct {
	Filters []atmostonce.Filter
	// Request, if not empty, restricts the list to this request.
	Request string
	// Claims, if not nil, requests the open claims of lost owners instead. Only claims
	// whose names begin with these hexadecimal digits are listed.
	Claims *string
}

// FatesResponse lists the requested fates. Those that one filter selects are sorted,
// the longest-standing first.
type FatesResponse struct {
	Fates []FateView `json:"fates"`
}

// FateView is the fate of one key as shown to an operator. The key is redacted, because
// anyone who knows the complete key can fetch the stored answer.
type FateView struct {
	Key     string    `json:"key"`
	State   string    `json:"state"`
	Reason  string    `json:"reason,omitempty"`
	Request string    `json:"request"`
	Profile string    `json:"profile"`
	Home    string    `json:"home"`
	Since   time.Time `json:"since"`
	Expires time.Time `json:"expires"`
}

func (n *Node) fatesEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		response := FatesResponse{Fates: []FateView{}}
		query := request.(FatesRequest)
		if query.Claims != nil {
			claims, err := n.openClaims(ctx, *query.Claims)
			response.Fates = append(response.Fates, claims...)
			return response, err
		}
		for _, filter := range query.Filters {
			for _, fate := range n.keys.List(filter) {
				response.Fates = append(response.Fates, fateView(fate))
			}
		}
		response.Fates = append(response.Fates, n.unsettledFates(query.Request, response.Fates)...)
		return response, nil
	}
}

func fateView(f atmostonce.Fate) FateView {
	return FateView{
		Key:     observe.RedactKey(f.Key),
		State:   f.State.String(),
		Reason:  string(f.Reason),
		Request: f.RequestID,
		Profile: f.Profile,
		Home:    string(f.Home),
		Since:   f.Since,
		Expires: f.Expires,
	}
}

// longRunning is the age from which a dispatched key that has not ended needs an
// operator's attention.
const longRunning = time.Minute

// decodeFates reads the query: "request=ID" selects the keys of one request, "all=1"
// all keys, "claims=DIGITS" claims in the platform. Without any of these it selects the
// keys that need attention.
func decodeFates(_ context.Context, r *http.Request) (any, error) {
	query := r.URL.Query()
	switch {
	case query.Has("claims"):
		part := query.Get("claims")
		if !validClaimPart(part) {
			return nil, &SettingError{Name: "claims", Value: part, Allowed: "0 to 4 lower-case hexadecimal digits"}
		}
		return FatesRequest{Claims: &part}, nil
	case query.Get("request") != "":
		id := call.ShortID(query.Get("request"))
		return FatesRequest{Request: id, Filters: []atmostonce.Filter{{RequestID: id, Limit: maxHops}}}, nil
	case query.Get("all") != "":
		return FatesRequest{Filters: []atmostonce.Filter{{Limit: maxHops}}}, nil
	default:
		return FatesRequest{Filters: atmostonce.AttentionFilters(longRunning)}, nil
	}
}
