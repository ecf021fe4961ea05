package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"pollengauge.dev/call"
	"pollengauge.dev/node"
)

// A program embeds a node, announces its upstream and is reached through the node's
// edge.
func Example() {
	upstream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "three cases")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = upstream.Serve(listener) }()
	defer func() { _ = upstream.Close() }()

	settings := node.DefaultSettings()
	settings.Service = "tracker"
	n, err := node.New(settings)
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := n.Start(context.Background()); err != nil {
		fmt.Println(err)
		return
	}
	defer n.Close()
	if err := n.Announce(node.Announcement{Service: "tracker", Addr: listener.Addr().String(), Slots: 40}); err != nil {
		fmt.Println(err)
		return
	}

	resp, err := http.Get("http://" + n.Addr("edge") + "/cases")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	fmt.Println(resp.StatusCode, resp.Header.Get(call.HeaderOutcome))
	// Output: 200 complete
}
