package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/cmd/pollengauge/internal/upstream"
	"pollengauge.dev/node"
	"pollengauge.dev/platform/store"
	"pollengauge.dev/standin"
)

// outcome is the exit code and the output of one command.
type outcome struct {
	code   ExitCode
	stdout string
	stderr string
}

// command runs one command line with stdin as its standard input.
func command(ctx context.Context, stdin string, args ...string) outcome {
	var stdout, stderr bytes.Buffer
	code := run(ctx, args, strings.NewReader(stdin), &stdout, &stderr)
	return outcome{code: ExitCode(code), stdout: stdout.String(), stderr: stderr.String()}
}

// startPlatform returns a stand-in of the platform and the flag that names it.
func startPlatform(c *qt.C) (server *standin.Server, flag string) {
	server = standin.New(standin.Options{})
	addr, err := server.Start("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Close() })
	return server, "--platform=http://" + addr
}

// fatalPath is the path whose requests crash the upstreams of startNode.
const fatalPath = "/fatal"

// startNode starts a node and a stand-in upstream, and returns the node once the
// upstream has announced itself.
func startNode(c *qt.C, platformFlag, service string, peers []string, calls ...upstream.Call) *node.Node {
	settings := node.DefaultSettings()
	settings.Service = service
	settings.OpenPlatform = store.Open
	settings.PlatformURL = strings.TrimPrefix(platformFlag, "--platform=")
	settings.Peers = peers
	settings.GossipInterval = 50 * time.Millisecond
	n, err := node.New(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(n.Start(c.Context()), qt.IsNil)
	c.Cleanup(n.Close)
	u, err := upstream.Start(upstream.Settings{
		Service:      service,
		Addr:         "127.0.0.1:0",
		NodeAdmin:    n.Addr("admin"),
		NodeOutbound: n.Addr("outbound"),
		Slots:        10,
		Calls:        calls,
		Interval:     50 * time.Millisecond,
		CrashPath:    fatalPath,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(u.Close)
	ctx, stop := context.WithCancel(c.Context())
	announced := make(chan error)
	go u.Announce(ctx, func(err error) { announced <- err })
	c.Assert(<-announced, qt.IsNil)
	c.Cleanup(stop)
	return n
}

// get sends one GET request through a node's edge.
func get(c *qt.C, n *node.Node, path string) (*http.Response, string) {
	resp, err := http.Get("http://" + n.Addr("edge") + path)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// eventually polls ok until it returns true, for state that takes time to spread
// between nodes. It fails the test after 10 seconds.
func eventually(c *qt.C, ok func() bool) {
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	c.Fatal("condition not met within 10 seconds")
}

func testContext(t *testing.T) (*qt.C, context.Context) { return qt.New(t), t.Context() }
