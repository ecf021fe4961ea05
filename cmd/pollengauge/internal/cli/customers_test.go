package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/customer"
	"pollengauge.dev/node"
)

// An operator creates a key, applies a set with its digest, and sees the customer
// listed with its request rate. No later output may contain the key, also not the
// error for a key given in place of a digest.
func TestCustomersAreListedWithoutKeys(t *testing.T) {
	c, ctx := testContext(t)
	_, platform := startPlatform(c)
	n := startNode(c, platform, "filing", nil)
	made := strings.Fields(command(ctx, "", "api-key", "new").stdout)
	c.Assert(made, qt.HasLen, 2)
	key, digest := made[0], made[1]
	c.Check(customer.DigestOf(key).String(), qt.Equals, digest)
	c.Check(command(ctx, key+"\n", "api-key", "digest").stdout, qt.Equals, digest+"\n")
	c.Check(command(ctx, "\n", "api-key", "digest").code, qt.Equals, ExitUsage)

	file := filepath.Join(c.TempDir(), "set.yaml")
	text := "profiles:\n  - {name: default, priority: 3}\ncustomers:\n  - {name: city hall, keyDigests: [\"" + digest + "\"], priority: 2, rate: 5, burst: 5}\n"
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	got := command(ctx, "", "apply", "-f", file, platform, "--nodes", n.Addr("admin"))
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addr("edge")+"/x", nil)
	c.Assert(err, qt.IsNil)
	request.Header.Set("X-Api-Key", key)
	var views []node.CustomerView
	eventually(c, func() bool {
		resp, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		got = command(ctx, "", "customers", "--nodes", n.Addr("admin"), "--json")
		c.Assert(json.Unmarshal([]byte(got.stdout), &views), qt.IsNil, qt.Commentf("%s", got.stderr))
		return len(views) == 1 && views[0].Home && views[0].Asked > 0
	})
	c.Check(views[0].Name, qt.Equals, "city hall")
	c.Check(views[0].Keys, qt.Equals, 1)
	table := command(ctx, "", "customers", "--nodes", n.Addr("admin"))
	c.Check(table.stdout, qt.Matches, `(?s)CUSTOMER .*city hall +1 +2 +5 +5 .*`)
	for _, shown := range []string{got.stdout, table.stdout, command(ctx, "", "config", platform).stdout} {
		c.Check(strings.Contains(shown, key), qt.IsFalse)
	}
	c.Check(views[0].Weight, qt.Equals, 1.0)
	wrong := strings.Replace(text, digest, key, 1)
	c.Assert(os.WriteFile(file, []byte(wrong), 0o600), qt.IsNil)
	got = command(ctx, "", "validate", "-f", file)
	c.Check(got.code, qt.Not(qt.Equals), ExitOK)
	c.Check(strings.Contains(got.stdout+got.stderr, key), qt.IsFalse, qt.Commentf("the output shows a key given in place of a digest"))
}

// Guards against an operator who sees the slot time that a customer took at one node for that of
// the deployment, and against columns that move: the earlier ones stay first.
func TestSlotTimesOfAllNodesAreAdded(t *testing.T) {
	c, ctx := testContext(t)
	serve := func(customers ...node.CustomerView) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(node.CustomersResponse{ConfigVersion: 2, Customers: customers})
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	one := serve(node.CustomerView{Name: "a", Keys: 1, Rate: 5, Burst: 5, Home: true, Asked: 2, Weight: 3, SlotTimes: []node.SlotTimeView{
		{Service: "desk", Seconds: 1, Refused: 2, Cost: 4}, {Service: "registry", Seconds: 0.5, Refused: 1, Cost: 1},
	}})
	two := serve(node.CustomerView{Name: "a", Keys: 1, Rate: 5, Burst: 5, Weight: 3, SlotTimes: []node.SlotTimeView{
		{Service: "desk", Seconds: 3, Refused: 4, Cost: 2},
	}})
	// A node of an earlier build reports neither weights nor slot times.
	three := serve(node.CustomerView{Name: "a", Keys: 1, Rate: 5, Burst: 5}, node.CustomerView{Name: "b"})
	nodes := strings.Join([]string{one, two, three}, ",")
	var views []node.CustomerView
	got := command(ctx, "", "customers", "--nodes", nodes, "--json")
	c.Assert(json.Unmarshal([]byte(got.stdout), &views), qt.IsNil, qt.Commentf("%s", got.stderr))
	c.Check(views[0].SlotTimes, qt.DeepEquals, []node.SlotTimeView{
		{Service: "desk", Seconds: 4, Refused: 6, Cost: 2.5}, {Service: "registry", Seconds: 0.5, Refused: 1, Cost: 1},
	})
	table := command(ctx, "", "customers", "--nodes", nodes)
	c.Check(table.stdout, qt.Matches, `(?s)CUSTOMER +KEYS +PRIORITY +RATE +BURST +ASKED/S +REFUSED/S +WEIGHT +SLOT-SECONDS +REFUSED-UNDER-PRESSURE\n`+
		`a +1 +0 +5 +5 +2 +0 +3 +desk=4,registry=0.5 +7\nb +0 +0 +- +- +- +- +- +- +0\n`)
}
