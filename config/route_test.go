package config_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollengauge.dev/config"
)

func routedSet(routes ...config.Route) config.Set {
	return config.Set{
		Profiles: []config.Profile{config.NewProfile("default", 1), config.NewProfile("read", 2)},
		Routes:   routes,
		Limits:   config.Limits{RetryRatio: 0.1},
	}
}

func singleShare(service string) []config.Share { return []config.Share{{Service: service, Weight: 1}} }

// A request reaches the wrong service if a shorter prefix wins or if a prefix ends
// inside a path segment. Route, which examines only slashes, must agree with the
// plain rule: the longest route prefix of the path wins.
func TestRouteAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`/([xy]{1,2}/){0,3}`)
		var routes []config.Route
		seen := map[string]bool{}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			p := prefix.Draw(t, "prefix")
			if !seen[p] {
				seen[p] = true
				routes = append(routes, config.Route{Name: p, Host: "h.example", PathPrefix: p, Profile: "read", Shares: singleShare("s")})
			}
		}
		compiled, err := config.Compile(routedSet(routes...))
		if err != nil {
			t.Fatal(err)
		}
		path := rapid.StringMatching(`/([xy]{1,2}/?){0,5}`).Draw(t, "path")
		want := ""
		for _, r := range routes {
			if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		got := ""
		if r := compiled.Route("h.example", path); r != nil {
			got = r.PathPrefix
		}
		if got != want {
			t.Fatalf("%q: got %q, want %q", path, got, want)
		}
		if compiled.Route("other.example", path) != nil {
			t.Fatal("Route returned a route of another host")
		}
	})
}

// An operator mistypes a route. Validate must reject the Set and name the path of
// each fault.
func TestFaultyRoutesAreNamed(t *testing.T) {
	c := qt.New(t)
	good := config.Route{Name: "r", Host: "h.example", PathPrefix: "/a/", Profile: "read", Shares: singleShare("s")}
	for path, breakRoute := range map[string]func(*config.Route){
		"routes[1].name":       func(r *config.Route) { r.Name = "" },
		"routes[1].host":       func(r *config.Route) { r.Host = "H:80" },
		"routes[1].pathPrefix": func(r *config.Route) { r.PathPrefix = "/b" },
		"routes[1].profile":    func(r *config.Route) { r.Profile = "none" },
		"routes[1].shares":     func(r *config.Route) { r.Shares = nil },
		"routes[1].shares[0].weight": func(r *config.Route) {
			r.Shares = []config.Share{{Service: "s", Weight: -1}, {Service: "t", Weight: 1}}
		},
		"routes[1]": func(r *config.Route) { r.PathPrefix = "/a/" },
	} {
		bad := good
		bad.PathPrefix = "/b/"
		breakRoute(&bad)
		var refused *config.ValidationError
		c.Assert(config.Validate(routedSet(good, bad)), qt.ErrorAs, &refused, qt.Commentf("%s", path))
		c.Check(refused.Problems[0].Path, qt.Equals, path)
	}
}

// Routes are sent between nodes and written to files as part of the Set. A route
// lost or changed on the way would give one version two different contents.
func TestRoutesSurviveFilesAndPeers(t *testing.T) {
	c := qt.New(t)
	set := routedSet(config.Route{Name: "r", Host: "h.example", PathPrefix: "/a/", Profile: "read", Shares: []config.Share{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}})
	encoded, err := config.Encode(set)
	c.Assert(err, qt.IsNil)
	decoded, err := config.Decode(encoded)
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.DeepEquals, set)
	text, err := set.YAML()
	c.Assert(err, qt.IsNil)
	parsed, err := config.Parse(text, config.YAML)
	c.Assert(err, qt.IsNil)
	c.Check(config.Diff(set, parsed), qt.HasLen, 0)
	changed := routedSet(config.Route{Name: "r", Host: "h.example", PathPrefix: "/a/", Profile: "read", Shares: singleShare("t")})
	c.Check(config.FormatDiff(config.Diff(set, changed)), qt.Contains, "~ routes[h.example/a/].shares: s:90,t:10 -> t:1")
}

// Operators need to find the routes whose requests no service receives.
func TestUnservedRoutesAreNamed(t *testing.T) {
	c := qt.New(t)
	route := func(name string, shares ...config.Share) config.Route {
		return config.Route{Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Profile: "read", Shares: shares}
	}
	compiled, err := config.Compile(routedSet(route("a", singleShare("s")...), route("b"), route("c", config.Share{Service: "s"})))
	c.Assert(err, qt.IsNil)
	count, first := compiled.UnservedRoutes()
	c.Check(count, qt.Equals, 2)
	c.Check(first, qt.Equals, "b")
}
