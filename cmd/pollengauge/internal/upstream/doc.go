// Package upstream is a minimal stand-in for an upstream, to run the system by hand
// as plain processes. For each request it calls other services through its node,
// waits for the configured work time and responds, on any path. It also announces
// itself to its node.
//
//	u, err := upstream.Start(upstream.Settings{Service: "filing", ...})
//	defer u.Close()
//	go u.Announce(ctx, report)
//
// It behaves as a real upstream should: it passes on the propagated headers, sheds a
// request only before any work for it, and stops when the caller has disconnected.
// All methods of Upstream may be called concurrently.
package upstream
