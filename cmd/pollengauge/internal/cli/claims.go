package cli

import (
	"cmp"
	"context"
	"errors"
	"net/url"
	"slices"

	"github.com/spf13/cobra"

	"pollengauge.dev/node"
	"pollengauge.dev/observe"
)

// member is a node that responded, with its admin address.
type member struct {
	address string
	status  observe.NodeStatus
}

// runClaims lists the open claims whose owner is none of the nodes that responded.
// The claims of each service are read through one of its nodes. If some claims
// can't be read, it prints the others and returns the error.
func runClaims(cmd *cobra.Command, flags *nodesFlags, addresses []string) error {
	client := newNodeClient(flags.timeout)
	defer client.close()
	members, _, err := split(queryAll(addresses, func(address string) (member, error) {
		status, err := client.status(cmd.Context(), address)
		return member{address: address, status: status}, err
	}))
	failures := []error{err}
	var claims []fate
	for _, group := range byService(members) {
		found, err := claimsOf(cmd.Context(), client, group)
		claims = append(claims, found...)
		failures = append(failures, err)
	}
	claims = slices.DeleteFunc(claims, func(f fate) bool {
		return slices.ContainsFunc(members, func(m member) bool { return m.status.Node == f.Home })
	})
	if printErr := printFates(cmd, claims, flags.json); printErr != nil {
		return printErr
	}
	return errors.Join(failures...)
}

// byService groups members by service, in the order of the service names.
func byService(members []member) [][]member {
	slices.SortStableFunc(members, func(a, b member) int { return cmp.Compare(a.status.Service, b.status.Service) })
	var groups [][]member
	for i, m := range members {
		if i == 0 || m.status.Service != members[i-1].status.Service {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], m)
	}
	return groups
}

// claimsOf reads the claims of one service part by part, which bounds the size of
// each response. If a node can't read a part, the next node of group is queried;
// if all fail, the error is that of the last node.
func claimsOf(ctx context.Context, client *nodeClient, group []member) (claims []fate, err error) {
	for _, part := range node.ClaimParts() {
		var answer node.FatesResponse
		for len(group) > 0 {
			answer, err = client.fates(ctx, group[0].address, url.Values{"claims": {part}})
			if err == nil {
				break
			}
			group = group[1:]
		}
		if err != nil {
			return claims, err
		}
		for _, view := range answer.Fates {
			claims = append(claims, fate{Address: group[0].address, FateView: view})
		}
	}
	return claims, nil
}
