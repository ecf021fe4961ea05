package cli

import (
	"context"
	"strconv"
	"time"
)

// nodeInForce reports whether a node has a change in force.
type nodeInForce struct {
	Node    string `json:"node"`
	InForce bool   `json:"inForce"`
	// Version is the version in force, 0 if the node could not be queried.
	Version uint64 `json:"version"`
	// TookMs is the time since the change was confirmed as stored.
	TookMs int64  `json:"tookMs"`
	Error  string `json:"error,omitempty"`
}

// String returns the line printed for operators.
func (n nodeInForce) String() string {
	took := (time.Duration(n.TookMs) * time.Millisecond).String()
	switch {
	case n.InForce:
		return n.Node + ": in force after " + took
	case n.Error != "":
		return n.Error
	}
	return n.Node + ": still on version " + strconv.FormatUint(n.Version, 10) + " after " + took
}

// inForcePollInterval is the interval between two queries of a node for the version
// in force.
const inForcePollInterval = 25 * time.Millisecond

// awaitInForce polls all nodes at once until each has version in force or --wait
// has passed. It returns each node's last state.
func (c *change) awaitInForce(version uint64) ([]nodeInForce, error) {
	if c.flags.wait == 0 || len(c.addresses) == 0 {
		return []nodeInForce{}, nil
	}
	ctx, cancel := context.WithTimeout(c.cmd.Context(), c.flags.wait)
	defer cancel()
	client := newNodeClient(c.flags.nodes.timeout)
	defer client.close()
	start := time.Now()
	replies := queryAll(c.addresses, func(address string) (nodeInForce, error) {
		return awaitNode(ctx, client, address, version, start)
	})
	states := make([]nodeInForce, len(replies))
	for i, r := range replies {
		states[i] = r.value
	}
	return states, c.inForceError(version, replies)
}

// awaitNode polls one node until it has version in force or ctx ends. It retries
// an unreachable node, which may be restarting.
func awaitNode(ctx context.Context, client *nodeClient, address string, version uint64, start time.Time) (nodeInForce, error) {
	tick := time.NewTicker(inForcePollInterval)
	defer tick.Stop()
	state := nodeInForce{Node: address}
	var failure error
	for {
		answer, err := client.config(ctx, address)
		state.TookMs = time.Since(start).Milliseconds()
		switch {
		case err == nil:
			failure = nil
			state.Version = answer.Version
			state.InForce = answer.Version >= version
		case ctx.Err() == nil || state.Version == 0:
			failure = err
		}
		if state.InForce {
			return state, nil
		}
		select {
		case <-ctx.Done():
			if failure != nil {
				state.Error = failure.Error()
			}
			return state, failure
		case <-tick.C:
		}
	}
}

// inForceError returns an error that names the nodes that could not be queried and
// those still on an older version, or nil if every node has version in force.
func (c *change) inForceError(version uint64, replies []reply[nodeInForce]) error {
	var late []string
	var failures []error
	for _, r := range replies {
		switch {
		case r.err != nil:
			failures = append(failures, r.err)
		case !r.value.InForce:
			late = append(late, r.node)
		}
	}
	if len(late) > 0 {
		failures = append(failures, &NotInForceError{Version: version, Nodes: late, Waited: c.flags.wait})
	}
	switch len(failures) {
	case 0:
		return nil
	case 1:
		return failures[0]
	}
	return &UnreachableError{Failures: failures}
}
