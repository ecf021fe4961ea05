package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
	"pollengauge.dev/standin"
)

const smallSet = `profiles:
  - {name: browse, priority: 3}
  - {name: default, priority: 2}
assignments:
  - {service: directory, method: GET, profile: browse}
`

// The operator mistypes a field name. The file must be rejected with the line of
// the field before anything is stored. If the field were ignored, the change would
// appear to be applied but have no effect.
func TestValidateNamesLineAndField(t *testing.T) {
	c, ctx := testContext(t)
	got := command(ctx, strings.Replace(smallSet, "priority: 2", "priority: 2, maxWiat: 1s", 1), "validate", "-f", "-")
	c.Assert(got.code, qt.Equals, ExitUsage)
	c.Assert(got.stderr, qt.Matches, `(?s)pollengauge: -: line 3: profiles\[1\].maxWiat: .*`)

	got = command(ctx, strings.Replace(smallSet, "priority: 2", "priority: 99, credit: -1", 1), "validate", "--json", "-f", "-")
	c.Assert(got.code, qt.Equals, ExitUsage)
	var result validation
	c.Assert(json.Unmarshal([]byte(got.stdout), &result), qt.IsNil)
	c.Assert(result.Valid, qt.IsFalse)
	c.Assert(len(result.Problems), qt.Equals, 2)
	c.Assert(result.Problems[0].Line, qt.Equals, 3)

	got = command(ctx, strings.NewReplacer("priority", "prioritaet", "method", "verb").Replace(smallSet), "validate", "--json", "-f", "-")
	c.Assert(got.code, qt.Equals, ExitUsage)
	c.Assert(got.stderr, qt.Matches, `(?s).*-: line 2: profiles\[0\].prioritaet: .*\n.*-: line 3: .*\n.*-: line 5: assignments\[0\].verb: .*`)
	result = validation{}
	c.Assert(json.Unmarshal([]byte(got.stdout), &result), qt.IsNil)
	c.Assert(result.Line, qt.Equals, 2)
	c.Assert(len(result.Problems), qt.Equals, 5)
}

// Two operators edit the same version. The second apply must not overwrite the
// first: it changes nothing, prints the changes of both sides, and succeeds when
// the operator names the other's version with --expect.
func TestApplyRaceShowsBothSides(t *testing.T) {
	c, ctx := testContext(t)
	server, platform := startPlatform(c)
	c.Assert(command(ctx, smallSet, "apply", platform, "-f", "-").code, qt.Equals, ExitOK)
	mine := command(ctx, "", "get", platform).stdout
	theirs := strings.Replace(mine, "priority: 3", "priority: 5", 1)
	mine = strings.Replace(mine, "priority: 3", "priority: 4", 1)
	c.Assert(command(ctx, theirs, "apply", platform, "-f", "-", "--author", "bob").code, qt.Equals, ExitOK)

	got := command(ctx, mine, "apply", platform, "-f", "-")
	c.Assert(got.code, qt.Equals, ExitRace)
	c.Assert(got.stderr, qt.Matches, `pollengauge: .*made from version 1, stored is 2 by "bob".*\n`)
	for _, line := range []string{
		"yours, made from version 1:\n  ~ profiles[browse].priority: 3 -> 4",
		"theirs, version 2 by bob",
		"  ~ profiles[browse].priority: 3 -> 5",
		"from theirs to yours:\n  ~ profiles[browse].priority: 5 -> 4",
	} {
		c.Assert(got.stdout, qt.Contains, line)
	}
	document, err := config.Read(ctx, server)
	c.Assert(err, qt.IsNil)
	c.Assert(document.Set.Version, qt.Equals, uint64(2))

	// A file from version control has no version, so without --expect it may not
	// replace a stored set.
	c.Assert(command(ctx, smallSet, "apply", platform, "-f", "-").code, qt.Equals, ExitRace)
	c.Assert(command(ctx, mine, "diff", platform, "-f", "-").code, qt.Equals, ExitDifferent)
	c.Assert(command(ctx, mine, "apply", platform, "-f", "-", "--expect", "2").code, qt.Equals, ExitOK)
	c.Assert(command(ctx, mine, "diff", platform, "-f", "-").code, qt.Equals, ExitOK)
	c.Assert(command(ctx, "", "rollback", platform, "1").code, qt.Equals, ExitOK)
	c.Assert(command(ctx, smallSet, "diff", platform, "-f", "-").code, qt.Equals, ExitOK)
	c.Assert(command(ctx, "", "rollback", platform, "9").code, qt.Equals, ExitNotFound)
}

// The write takes effect, but its response is lost. The command must read back the
// stored set: reporting a failure would be wrong, and writing again would apply the
// change twice.
func TestApplyWithLostResponseAppliesOnce(t *testing.T) {
	c, ctx := testContext(t)
	server, platform := startPlatform(c)
	server.SetFaults(standin.Faults{DropNext: 1})
	got := command(ctx, smallSet, "apply", platform, "-f", "-", "--json")
	c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	var result changeResult
	c.Assert(json.Unmarshal([]byte(got.stdout), &result), qt.IsNil)
	c.Assert(result.Settled, qt.IsTrue)
	document, err := config.Read(ctx, server)
	c.Assert(err, qt.IsNil)
	c.Assert(document.Changes, qt.HasLen, 1)
	c.Assert(document.Set.Version, qt.Equals, uint64(1))
	// Applying the same file again changes nothing.
	again := command(ctx, smallSet, "apply", platform, "-f", "-")
	c.Assert(again.code, qt.Equals, ExitOK)
	c.Assert(again.stdout, qt.Contains, "unchanged: version 1")
}

// No write gets a response, and reading back finds none of them. The error must
// say that the change may still take effect and name a command that settles it.
// Running that command twice after the platform has recovered must apply the change
// exactly once.
func TestApplyUnsettledNamesTheCommandThatSettles(t *testing.T) {
	c, ctx := testContext(t)
	server, platform := startPlatform(c)
	file := filepath.Join(c.TempDir(), "set.yaml")
	c.Assert(os.WriteFile(file, []byte(smallSet), 0o600), qt.IsNil)
	server.SetFaults(standin.Faults{LoseNext: 100})
	got := command(ctx, "", "apply", platform, "-f", file)
	c.Assert(got.code, qt.Equals, ExitAmbiguous, qt.Commentf("%s", got.stderr))
	_, settle, found := strings.Cut(strings.TrimSpace(got.stderr), "to settle it: pollengauge ")
	c.Assert(found, qt.IsTrue)
	server.SetFaults(standin.Faults{})
	for range 2 {
		got = command(ctx, "", append(strings.Fields(settle), platform)...)
		c.Assert(got.code, qt.Equals, ExitOK, qt.Commentf("%s", got.stderr))
	}
	document, err := config.Read(ctx, server)
	c.Assert(err, qt.IsNil)
	c.Assert(document.Changes, qt.HasLen, 1)
}

// While the platform is down, each command that needs it exits with
// ExitUnavailable, so that a script can wait for the platform instead of treating
// the set as invalid.
func TestPlatformDown(t *testing.T) {
	c, ctx := testContext(t)
	server, platform := startPlatform(c)
	server.SetFaults(standin.Faults{Down: true})
	for _, args := range [][]string{{"apply", "-f", "-"}, {"diff", "-f", "-"}, {"get"}, {"history"}, {"rollback", "1"}} {
		got := command(ctx, smallSet, append(args, platform)...)
		c.Assert(got.code, qt.Equals, ExitUnavailable, qt.Commentf("%s: %s", args, got.stderr))
		c.Assert(got.stderr, qt.Matches, `(pollengauge: .*\n)+`)
	}
	c.Assert(command(ctx, smallSet, "validate", "-f", "-").code, qt.Equals, ExitOK)
}
