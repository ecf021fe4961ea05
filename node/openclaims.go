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
	// maxClaimPart bounds the digits by which a list of claims is divided, and
	// claimDigits are what they can be.
	maxClaimPart = 4
	claimDigits  = "0123456789abcdef"
	// claimsWait bounds how long a list waits for this node's call budget.
	claimsWait = 4 * time.Second
)

// NoPlatformError tells that a node has no platform to read from.
type NoPlatformError struct{}

// Error implements error.
func (*NoPlatformError) Error() string { return "this node has no platform: start it with --platform" }

// ClaimParts returns the parts by which all claims of a service are listed. A
// key's claim is named by a hash, so the parts are about equal.
func ClaimParts() []string { return strings.Split(claimDigits, "") }

func validClaimPart(part string) bool {
	return len(part) <= maxClaimPart && strings.Trim(part, claimDigits) == ""
}

// openClaims lists the claims of one part whose fate is open and whose home no
// member has: those of a lost VM. Their keys run nowhere any more.
//
// A claim that says claimed may have ended all the same: how a call ended is
// written only for profiles that ask for it.
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
		if err != nil || claim.State == atmostonce.StateDone || !now.Before(expires) || n.homeKept(claim.Home) {
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

// listClaims waits for the call budget, if that is soon: an operator rather
// waits than is refused.
func (n *Node) listClaims(ctx context.Context, prefix string) ([]objects.Object, error) {
	giveUp := n.now().Add(claimsWait)
	for {
		found, _, err := n.store.List(ctx, claimKind, prefix)
		if !awaitBudget(ctx, err, giveUp.Sub(n.now())) {
			return found, err
		}
	}
}
