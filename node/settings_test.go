package node

import (
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Accepted names are used in the Host of calls between nodes and in metric labels; a
// name that is wrongly rejected prevents a service from starting. The check must accept
// exactly what the published pattern matches.
func TestValidName(t *testing.T) {
	c := qt.New(t)
	pattern := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	names := []string{"", "-", "a", "a-", "-a", "a.b", "A", "\u00e1", strings.Repeat("a", 63), strings.Repeat("a", 64)}
	random := rand.New(rand.NewPCG(1, 2))
	const letters = "az09-Az{/:`. \n"
	for range 20_000 {
		name := make([]byte, random.IntN(5))
		for i := range name {
			name[i] = letters[random.IntN(len(letters))]
		}
		names = append(names, string(name))
	}
	taken := 0
	for _, name := range names {
		want := pattern.MatchString(name)
		c.Check(validName(name), qt.Equals, want, qt.Commentf("%q", name))
		if want {
			taken++
		}
	}
	c.Check(taken > 1000, qt.IsTrue)
}
