package node

import (
	"context"
	"strings"
	"time"

	"pollengauge.dev/atmostonce"
	"pollengauge.dev/call"
	"pollengauge.dev/objects"
)

const (
	// maxClaimPart bounds the number of digits in a part, the prefix of claim names by
	// which a listing is divided. claimDigits are the digits that a part may contain.
	maxClaimPart = 4
	claimDigits  = "0123456789abcdef"
	// claimsWait bounds how long a listing waits for this node's budget of platform
	// calls.
	claimsWait = 4 * time.Second
)

// NoPlatformError reports that the node is not connected to a platform that it could
// read claims from.
type NoPlatformError struct{}

// Error implements error.
func (*NoPlatformError) Error() string { return "this node has no platform: start it with --platform" }

// ClaimParts returns parts that together cover all claims of a service. A claim's name
// is a hash of its key, so the parts are of about equal size.
func ClaimParts() []string { return strings.Split(claimDigits, "") }

func validClaimPart(part string) bool {
	return len(part) <= maxClaimPart && strings.Trim(part, claimDigits) == ""
}

// openClaims lists the claims of one part whose fate is open and whose owner is not
// among the members: the claims of a lost VM. No node runs their keys any more.
//
// A claim in the state "claimed" may still have completed, because the outcome is only
// written for profiles that request it.
func (n *Node) openClaims(ctx context.Context, part string) ([]FateView, error) {
	if n.store == nil {
		return nil, &NoPlatformError{}
	}
	found, err := n.listClaims(ctx, n.settings.Service+"."+part)
	if err != nil {
		return nil, err
	}
	now := n.now()
	var fates []FateView
	for _, o := range found {
		claim, err := decodeClaim(o.Value)
		expires := time.Unix(claim.ExpiresUnix, 0)
		if err != nil || claim.State == atmostonce.StateDone || !now.Before(expires) || n.hasOwner(claim.Home) {
			continue
		}
		fates = append(fates, FateView{
			Key:     o.Name,
			State:   claim.State.String(),
			Reason:  string(call.ReasonKeyHomeGone),
			Home:    string(claim.Home),
			Expires: expires,
		})
	}
	return fates, nil
}

// listClaims waits for the budget of platform calls if that is available within
// claimsWait: an operator prefers a short wait to a refusal.
func (n *Node) listClaims(ctx context.Context, prefix string) ([]objects.Object, error) {
	giveUp := n.now().Add(claimsWait)
	for {
		found, _, err := n.store.List(ctx, claimKind, prefix)
		if !awaitBudget(ctx, err, giveUp.Sub(n.now())) {
			return found, err
		}
	}
}
