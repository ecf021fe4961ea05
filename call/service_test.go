package call

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against taking two services for the same one. Names that are tokens are sent
// between nodes unchanged; any other name has a token of its own that can be used as a
// Host.
func TestServiceTokens(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"", "desk", "Front.End~1", strings.Repeat("s", MaxServiceToken)} {
		c.Check(ServiceToken(name), qt.Equals, name)
	}
	seen := map[string]string{}
	long := strings.Repeat("s", 200)
	for _, name := range []string{long, long + "s", "desk/eu", "desk eu", "ügyfél", "\xff", "a:1", "desk\n"} {
		token := ServiceToken(name)
		c.Check(isServiceToken(token), qt.IsTrue, qt.Commentf("%q", token))
		c.Check(seen[token], qt.Equals, "", qt.Commentf("%q", name))
		seen[token] = name
	}
}
