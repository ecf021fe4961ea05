package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An operator searches for the id of a request that a customer complained about. Its
// lines are spread over the logs of several nodes, mixed with lines of other
// requests, out of order and beside damaged lines. The command must print all of
// them, with the calls made for the request, in order of time.
func TestTraceLogFindsARequestAcrossNodes(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600), qt.IsNil)
		return path
	}
	a := write("a.log",
		"ts=2026-01-11T00:00:02Z node=a event=8003 step=root request=id-1 reason=queue-wait",
		`broken " line request=id-1`,
		"ts=2026-01-11T00:00:00Z node=a event=8001 step=root request=id-10")
	b := write("b.log", "ts=2026-01-11T00:00:01Z node=b event=8003 step=inbound request=id-1.call-2 reason=queue-wait")
	got := command(context.Background(), "", "trace-log", "id-1", a, b)
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	lines := strings.Split(strings.TrimSpace(got.stdout), "\n")
	c.Assert(lines, qt.HasLen, 2)
	c.Check(lines[0], qt.Contains, "node=b")
	c.Check(lines[1], qt.Contains, "node=a")
	c.Check(command(context.Background(), "", "trace-log", "id-9", a, b).code, qt.Equals, ExitNotFound)
}
