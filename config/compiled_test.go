package config_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollengauge.dev/config"
)

// referenceMatch is the reference for Match: it tries every assignment and selects the
// most specific one.
func referenceMatch(set config.Set, service, method, path string) string {
	best, profile := -1, config.DefaultProfileName
	for _, a := range set.Assignments {
		prefix := strings.TrimSuffix(a.PathPrefix, "/")
		if a.Service != service && a.Service != config.AnyService || a.Method != "" && a.Method != method {
			continue
		}
		if prefix != "" && path != prefix && !strings.HasPrefix(path, prefix+"/") {
			continue
		}
		rank := 2 * len(prefix)
		if a.Service == service {
			rank += 10000
		}
		if a.Method != "" {
			rank++
		}
		if rank > best {
			best, profile = rank, a.Profile
		}
	}
	return profile
}

// A wrong profile can cause a filing to run twice. Match, which looks up prefixes
// from the longest to the shortest, must agree with the reference for every set and
// path.
func TestMatchAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := rapid.SampledFrom([]string{"a", "b", "*"})
		method := rapid.SampledFrom([]string{"", "GET", "POST"})
		path := rapid.StringMatching(`(/[xy]{1,2}){0,4}`)
		set := config.Set{Profiles: []config.Profile{config.NewProfile("default", 1), config.NewProfile("p1", 1), config.NewProfile("p2", 1)}}
		seen := map[config.Assignment]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "assignments") {
			a := config.Assignment{Service: service.Draw(t, "service"), Method: method.Draw(t, "method"), PathPrefix: path.Draw(t, "prefix")}
			if !seen[a] {
				seen[a] = true
				a.Profile = rapid.SampledFrom([]string{"default", "p1", "p2"}).Draw(t, "profile")
				set.Assignments = append(set.Assignments, a)
			}
		}
		compiled, err := config.Compile(set)
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			s, m, p := service.Draw(t, "called"), method.Draw(t, "by"), path.Draw(t, "path")
			if got, want := compiled.Match(s, m, p).Name, referenceMatch(set, s, m, p); got != want {
				t.Fatalf("%s %s %s: got %s, want %s", s, m, p, got, want)
			}
		}
	})
}

// A caller disguises the path of a filing as a browsing path, or sends a path with
// many slashes. The former must not select another profile, and the latter must not
// stall the lookup.
func TestMatchHostilePaths(t *testing.T) {
	c := qt.New(t)
	write := config.NewProfile("filing", 9)
	write.Unrepeatable = true
	compiled, err := config.Compile(config.Set{
		Profiles: []config.Profile{config.NewProfile("default", 1), config.NewProfile("browse", 2), write},
		Assignments: []config.Assignment{
			{Service: "s", PathPrefix: "/browse", Profile: "browse"},
			{Service: "s", PathPrefix: "/filings", Profile: "filing"},
		},
	})
	c.Assert(err, qt.IsNil)
	for _, path := range []string{"/filings", "/filings/", "/browse/../filings", "//filings", "/./filings/7", "/browse/..//filings"} {
		c.Check(compiled.Match("s", "POST", path).Name, qt.Equals, "filing", qt.Commentf("%s", path))
	}
	for _, path := range []string{"", "/", "*", "/filingsheet", strings.Repeat("/a", 1<<16)} {
		c.Check(compiled.Match("s", "POST", path).Name, qt.Equals, "default", qt.Commentf("%.20s", path))
	}
	c.Check(testing.AllocsPerRun(100, func() { compiled.Match("s", "POST", "/filings/7/pages/8") }), qt.Equals, 0.0)
}

func BenchmarkMatch(b *testing.B) {
	compiled, err := config.Compile(config.Default())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		compiled.Match("filing", "POST", "/filings/7/pages/8")
	}
}
