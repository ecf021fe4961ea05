package config_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollengauge.dev/config"
)

const minimal = "profiles:\n  - {name: default, priority: 3}\n"

// An operator mistypes one line. If Parse ignored the mistake or guessed, a default
// would become active instead; the error must name the line and the field.
func TestParseErrorNamesLineAndField(t *testing.T) {
	cases := []struct {
		text  string
		line  int
		field string
	}{
		{minimal + "profilse: []\n", 3, "profilse"},
		{minimal + "comment: a\ncomment: b\n", 4, "comment"},
		{"profiles:\n  - name: default\n", 2, "profiles[0].priority"},
		{"profiles:\n  - {name: default, priority: high}\n", 2, "profiles[0].priority"},
		{"profiles:\n  - {name: default, priority: 3.5}\n", 2, "profiles[0].priority"},
		{"profiles:\n  - {name: default, priority: 3, unrepeatable: yes}\n", 2, "profiles[0].unrepeatable"},
		{"profiles:\n  - {name: default, priority: 3, deadline: 5}\n", 2, "profiles[0].deadline"},
		{"profiles:\n  - {name: default, priority: 3, prefer: 1.5}\n", 2, "profiles[0].prefer"},
		{"profiles:\n  - &a {name: default, priority: 3}\n  - *a\n", 3, "profiles[1]"},
		{"profiles: {name: default}\n", 1, "profiles"},
		{minimal + "---\n" + minimal, 3, "set"},
		{"\t", 0, "set"},
	}
	for _, test := range cases {
		t.Run(test.field, func(t *testing.T) {
			c := qt.New(t)
			_, err := config.Parse([]byte(test.text), config.YAML)
			var parse *config.ParseError
			c.Assert(errors.As(err, &parse), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(parse.Line, qt.Equals, test.line)
			c.Check(parse.Field, qt.Equals, test.field)
		})
	}
	c := qt.New(t)
	_, err := config.Parse([]byte("{\n\"profiles\": [],\n\"profiles\": []}"), config.JSON)
	c.Check(err, qt.ErrorMatches, `line 3: profiles: "profiles": want each field once`)
	_, err = config.Parse([]byte(strings.Repeat("[", 1000)), config.JSON)
	c.Check(err, qt.ErrorMatches, `line 1: set: "": want a nesting of at most 16`)
}

// A file written for another build has several unknown fields and a value of the
// wrong type. The error must list all of them with their lines; one error at a time
// would cost the operator one apply each during an incident.
func TestParseListsEveryError(t *testing.T) {
	c := qt.New(t)
	text := minimal + "    retires: 2\n    deadline: 5\n  - {nmae: b, priority: 1}\nlimit: {}\n"
	text = strings.Replace(text, "{name: default, priority: 3}", "name: default\n    priority: 3", 1)
	_, err := config.Parse([]byte(text), config.YAML)
	var parseErrors config.ParseErrors
	c.Assert(errors.As(err, &parseErrors), qt.IsTrue)
	c.Check(strings.Split(err.Error(), "; "), qt.DeepEquals, []string{
		`line 4: profiles[0].retires: "retires": want a known field`,
		`line 5: profiles[0].deadline: "5": want a duration with unit, such as "250ms" or "2s"`,
		`line 6: profiles[1].nmae: "nmae": want a known field`,
		`line 6: profiles[1].name: "": want this field, which is missing`,
		`line 7: limit: "limit": want a known field`,
	})
	_, err = config.Parse([]byte("{\n\"a\": 1,\n\"b\": 2}"), config.JSON)
	c.Check(err, qt.ErrorMatches, `line 2: a: .*; line 3: b: .*; line 1: profiles: .*`)
}

// A Set with a thousand lines is rejected because a value is out of range. The
// problem must have the line, because with only the path the operator would have to
// count list entries.
func TestProblemsHaveLines(t *testing.T) {
	c := qt.New(t)
	text := "limits:\n  retryRatio: 2\nprofiles:\n  - name: browse\n    priority: 16\n    brownout:\n      maxAge: 1s\n      vary: [Cookie]\n"
	_, err := config.Parse([]byte(text), config.YAML)
	var refused *config.ValidationError
	c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
	lines := map[string]int{}
	for _, p := range refused.Problems {
		lines[p.Path] = p.Line
	}
	c.Check(lines, qt.DeepEquals, map[string]int{
		"limits.retryRatio": 2, "profiles": 3, "profiles[0].priority": 5, "profiles[0].brownout.vary": 8,
	})
	c.Check(refused.Problems[0].String(), qt.Equals, `line 5: profiles[0].priority: "16": want 0 to 15`)
	_, err = config.Parse([]byte("profiles:\n  - name: default\n    priority: 1\n    deadline: 1ms\n"), config.YAML)
	c.Check(err, qt.ErrorMatches, "configuration refused: line 4: profiles.0..deadline: .*")
}

// A change with many faults must be rejected with all of them at once, each with
// its path, so that an operator does not find them one at a time during an
// incident.
func TestValidateListsEveryProblem(t *testing.T) {
	c := qt.New(t)
	filing := config.NewProfile("filing", 3)
	filing.Unrepeatable = true
	filing.Brownout = config.Brownout{MaxAge: config.Duration(time.Minute), Vary: []string{"Cookie"}}
	browse := config.NewProfile("browse", 3)
	browse.Prefer = 2
	browse.Record = config.RecordClaim
	browse.MaxWait = browse.Deadline + 1
	track := browse
	track.Credit = -1
	track.Record = config.RecordPeer
	set := config.Set{
		Profiles: []config.Profile{filing, browse, track},
		Assignments: []config.Assignment{
			{Service: "a", PathPrefix: "/", Profile: "browse"},
			{Service: "a", Profile: "browse"},
			{Service: "b", PathPrefix: "/x/../y", Method: "get", Profile: "gone"},
		},
		Limits: config.Limits{RetryRatio: 0.6},
	}
	var refused *config.ValidationError
	c.Assert(errors.As(config.Validate(set), &refused), qt.IsTrue)
	var paths []string
	for _, p := range refused.Problems {
		paths = append(paths, p.Path)
	}
	c.Check(paths, qt.DeepEquals, []string{
		"profiles[0].brownout.maxAge", "profiles[0].brownout.vary",
		"profiles[1].record", "profiles[1].maxWait", "profiles[1].prefer",
		"profiles[2].record", "profiles[2].maxWait", "profiles[2].credit", "profiles[2].prefer", "profiles[2].name",
		"profiles", "profiles[0].priority",
		"assignments[1]", "assignments[2].method", "assignments[2].pathPrefix", "assignments[2].profile",
		"limits.retryRatio",
	})
	_, err := config.Encode(set)
	c.Check(err, qt.ErrorAs, new(*config.ValidationError))
}

// The example Sets of both teams must load, and in each of them filings, payments,
// bookings and closures must rank above the reads, whatever order a later edit
// gives the rest.
func TestExamples(t *testing.T) {
	cases := []struct {
		file, last, first string
		prefer            config.Preference
		calls             [][3]string
		profiles          []string
	}{
		{
			"nyitottkapu", "filing reminder payment", "browse track", config.PreferGoodput,
			[][3]string{{"filing", "POST", "/filings"}, {"filing", "POST", "/reminders/7"}, {"billing", "POST", "/payments"}, {"directory", "GET", "/bodies"}, {"tracker", "GET", "/cases/7"}, {"directory", "GET", "/lookup/7"}, {"tracker", "DELETE", "/cases/7"}, {"tracker", "HEAD", "/"}},
			[]string{"filing", "reminder", "payment", "browse", "track", "lookup", "other-write", "default"},
		},
		{
			"tenantwise", "report booking closure", "status browse", config.PreferRecovery,
			[][3]string{{"customer-portal", "GET", "/status/7"}, {"customer-portal", "POST", "/reports"}, {"dispatch", "POST", "/bookings"}, {"van-app", "POST", "/closures"}, {"property-registry", "GET", "/flats/7"}, {"van-app", "PUT", "/closures"}},
			[]string{"status", "report", "booking", "closure", "lookup", "other-write"},
		},
	}
	for _, test := range cases {
		t.Run(test.file, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile("../examples/" + test.file + ".yaml")
			c.Assert(err, qt.IsNil)
			set, err := config.Parse(data, config.YAML)
			c.Assert(err, qt.IsNil)
			compiled, err := config.Compile(set)
			c.Assert(err, qt.IsNil)
			for i, call := range test.calls {
				c.Check(compiled.Match(call[0], call[1], call[2]).Name, qt.Equals, test.profiles[i], qt.Commentf("%v", call))
			}
			for _, last := range strings.Fields(test.last) {
				c.Check(compiled.Profile(last).Unrepeatable, qt.IsTrue)
				for _, first := range strings.Fields(test.first) {
					c.Check(compiled.Profile(last).Priority > compiled.Profile(first).Priority, qt.IsTrue)
					c.Check(compiled.Profile(first).Prefer, qt.Equals, test.prefer)
				}
			}
			text, err := set.YAML()
			c.Assert(err, qt.IsNil)
			again, err := config.Parse(text, config.YAML)
			c.Assert(err, qt.IsNil)
			c.Check(config.Diff(set, again), qt.HasLen, 0)
		})
	}
}

// FuzzParse parses arbitrary bytes as an operator's file. A Set that Parse accepts
// must be valid, survive every format in which it is shown or sent, and compile.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"nyitottkapu", "tenantwise"} {
		data, err := os.ReadFile("../examples/" + name + ".yaml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
	}
	f.Add([]byte(minimal), true)
	f.Add([]byte(`{"profiles":[{"name":"default","priority":3}]}`), false)
	f.Fuzz(func(t *testing.T, data []byte, yaml bool) {
		format := config.JSON
		if yaml {
			format = config.YAML
		}
		set, err := config.Parse(data, format)
		if err != nil {
			var parse *config.ParseError
			var invalid *config.ValidationError
			if !errors.As(err, &parse) && !errors.As(err, &invalid) {
				t.Fatalf("untyped %T", err)
			}
			return
		}
		c := qt.New(t)
		encoded, err := config.Encode(set)
		c.Assert(err, qt.IsNil)
		back, err := config.Decode(encoded)
		c.Assert(err, qt.IsNil)
		c.Assert(config.Diff(set, back), qt.HasLen, 0)
		text, err := set.YAML()
		c.Assert(err, qt.IsNil)
		shown, err := config.Parse(text, config.YAML)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", text))
		again, err := config.Encode(shown)
		c.Assert(err, qt.IsNil)
		c.Assert(string(again), qt.Equals, string(encoded))
	})
}

// FuzzOffer offers arbitrary bytes from a peer. The Store must reject them with a
// typed error, or accept them and return exactly the same bytes for the next peer.
func FuzzOffer(f *testing.F) {
	set := config.Default()
	set.Version = 1
	encoded, err := config.Encode(set)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte(strings.Replace(string(encoded), `"version":1`, `"version":1,"version":2`, 1)))
	f.Add([]byte(strings.Replace(string(encoded), `"version":1`, `"Version":2`, 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		store := config.NewStore()
		accepted, err := store.Offer(data, config.SourcePeer)
		if err != nil {
			var encoding *config.EncodingError
			var invalid *config.ValidationError
			c.Assert(errors.As(err, &encoding) || errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%T", err))
		}
		if accepted {
			again, err := config.Encode(store.Current().Set())
			c.Assert(err, qt.IsNil)
			version, stored := store.Encoded()
			c.Assert(version > 0, qt.IsTrue)
			c.Assert(string(stored), qt.Equals, string(data))
			c.Assert(string(again), qt.Equals, string(data))
		}
	})
}
