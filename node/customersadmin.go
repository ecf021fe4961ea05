package node

import (
	"context"
	"slices"
	"strings"

	"github.com/go-kit/kit/endpoint"
)

// CustomerView describes a customer to operators. It holds neither keys nor their
// digests.
type CustomerView struct {
	Name     string `json:"name"`
	Keys     int    `json:"keys"`
	Priority int    `json:"priority"`
	// Rate is in requests per second, 0 for no limit, and Burst in requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Home reports whether this node is the customer's owner and has recently counted
	// requests of the customer. Otherwise the fields below are 0. Asked and Refused are
	// recent requests per second over all nodes, and Tokens is how many more requests
	// could be sent at once.
	Home    bool    `json:"home"`
	Asked   float64 `json:"asked"`
	Refused float64 `json:"refused"`
	Tokens  float64 `json:"tokens"`
	// Weight is the customer's weight, 1 by default. SlotTimes is what this node knows of the
	// slot time that the customer took.
	Weight    float64        `json:"weight"`
	SlotTimes []SlotTimeView `json:"slotTimes,omitempty"`
}

// CustomersResponse lists the customers of the configuration in force, by name.
type CustomersResponse struct {
	ConfigVersion uint64         `json:"configVersion"`
	Customers     []CustomerView `json:"customers"`
}

func (n *Node) customersEndpoint() endpoint.Endpoint {
	return func(context.Context, any) (any, error) { return n.CustomerViews(), nil }
}

// CustomerViews returns the customers of the configuration in force, this node's
// counts for those that it owns, and the slot times that it knows.
func (n *Node) CustomerViews() CustomersResponse {
	current := n.config.Current()
	counted := make(map[string]int)
	accounts := n.quotas.ledger.Accounts()
	for i, a := range accounts {
		counted[a.Customer] = i
	}
	slotTimes := n.slotTimeViews()
	response := CustomersResponse{ConfigVersion: current.Version(), Customers: []CustomerView{}}
	for _, c := range current.Set().Customers {
		view := CustomerView{Name: c.Name, Keys: len(c.Keys), Priority: c.Priority, Rate: c.Rate, Burst: c.Burst, Weight: c.ShareWeight(), SlotTimes: slotTimes[c.Name]}
		if i, isOwner := counted[c.Name]; isOwner {
			a := accounts[i]
			view.Home, view.Asked, view.Refused, view.Tokens = true, a.Asked, a.Refused, a.Tokens
		}
		response.Customers = append(response.Customers, view)
	}
	slices.SortFunc(response.Customers, func(a, b CustomerView) int { return strings.Compare(a.Name, b.Name) })
	return response
}
