package cli

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/node"
)

// A request crashes one upstream after another and is quarantined. The operator must
// be able to list and to release it.
func TestQuarantineIsListedAndCleared(t *testing.T) {
	c, ctx := testContext(t)
	_, platform := startPlatform(c)
	first := startNode(c, platform, "filing", nil)
	second := startNode(c, platform, "filing", []string{first.Addr("gossip")})
	nodes := "--nodes=" + first.Addr("admin") + "," + second.Addr("admin")
	var held []node.HeldView
	eventually(c, func() bool {
		resp, err := http.Get("http://" + first.Addr("edge") + fatalPath)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		got := command(ctx, "", "quarantine", "list", nodes, "--json")
		c.Assert(json.Unmarshal([]byte(got.stdout), &held), qt.IsNil, qt.Commentf("%s", got.stderr))
		return len(held) == 1
	})
	c.Check(held[0].Request, qt.Equals, "filing: GET "+fatalPath)
	c.Check(held[0].Ends >= 2, qt.IsTrue)
	got := command(ctx, "", "quarantine", "list", nodes)
	c.Check(got.stdout, qt.Matches, `(?s)FINGERPRINT .*`+held[0].Fingerprint+` .*filing: GET `+fatalPath+`\n`)

	c.Check(command(ctx, "", "quarantine", "clear", "nonsense", nodes).code, qt.Equals, ExitUsage)
	c.Check(command(ctx, "", "quarantine", "clear", "1", nodes).code, qt.Equals, ExitNotFound)
	got = command(ctx, "", "quarantine", "clear", held[0].Fingerprint, nodes)
	c.Check(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	eventually(c, func() bool {
		got := command(ctx, "", "quarantine", "list", nodes, "--json")
		return got.stdout == "[]\n"
	})
}
