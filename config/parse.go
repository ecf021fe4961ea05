package config

import (
	"strconv"

	"go.yaml.in/yaml/v3"

	"pollengauge.dev/customer"
)

// Format is the syntax of a configuration file.
type Format string

// The formats that Parse reads.
const (
	YAML Format = "yaml"
	JSON Format = "json"
)

// Parse reads a Set, fills in defaults and validates it. It returns a *ParseError
// if the file as a whole can't be read, ParseErrors with every faulty place if
// fields can't be read, and otherwise, if the Set is invalid, a *ValidationError
// whose problems have line numbers.
func Parse(data []byte, format Format) (Set, error) {
	if len(data) > MaxEncoded {
		return Set{}, &ParseError{Field: rootField, Value: strconv.Itoa(len(data)), Want: "at most 524288 bytes"}
	}
	root, err := parseTree(data, format)
	if err != nil {
		return Set{}, err
	}
	var s Set
	if err := readSet(root, &s); err != nil {
		return Set{}, err
	}
	if err := Validate(s); err != nil {
		return Set{}, withLines(err, root)
	}
	return s, nil
}

// rootField is the Field of a ParseError that concerns the file as a whole.
const rootField = "set"

func parseTree(data []byte, format Format) (*yaml.Node, error) {
	switch format {
	case JSON:
		return parseJSON(data)
	case YAML:
		return parseYAML(data)
	}
	return nil, &ParseError{Field: "format", Value: string(format), Want: "yaml or json"}
}

func readSet(n *yaml.Node, s *Set) error {
	s.Limits.RetryRatio = DefaultRetryRatio
	_, err := readObject(n, "", fields{
		"version":  func(n *yaml.Node, at string) error { return readVersion(n, at, &s.Version) },
		"changeId": func(n *yaml.Node, at string) error { return readString(n, at, &s.ChangeID) },
		"author":   func(n *yaml.Node, at string) error { return readString(n, at, &s.Author) },
		"comment":  func(n *yaml.Node, at string) error { return readString(n, at, &s.Comment) },
		"at":       func(n *yaml.Node, at string) error { return readTime(n, at, &s.At) },
		"profiles": func(n *yaml.Node, at string) error {
			return readList(n, at, MaxProfiles, &s.Profiles, readProfile)
		},
		"assignments": func(n *yaml.Node, at string) error {
			return readList(n, at, MaxAssignments, &s.Assignments, readAssignment)
		},
		"routes": func(n *yaml.Node, at string) error {
			return readList(n, at, MaxRoutes, &s.Routes, readRoute)
		},
		"customers": func(n *yaml.Node, at string) error {
			return readList(n, at, customer.MaxCustomers, &s.Customers, readCustomer)
		},
		"limits": func(n *yaml.Node, at string) error { return readLimits(n, at, &s.Limits) },
	}, "profiles")
	return err
}

func readLimits(n *yaml.Node, at string, l *Limits) error {
	_, err := readObject(n, at, fields{
		"retryRatio":  func(n *yaml.Node, at string) error { return readFloat(n, at, &l.RetryRatio) },
		"headerBytes": func(n *yaml.Node, at string) error { return readInt(n, at, &l.HeaderBytes) },
		"bodyBytes":   func(n *yaml.Node, at string) error { return readInt(n, at, &l.BodyBytes) },
		"idleTimeout": func(n *yaml.Node, at string) error { return readText(n, at, &l.IdleTimeout) },
	})
	return err
}

func readAssignment(n *yaml.Node, at string, a *Assignment) error {
	_, err := readObject(n, at, fields{
		"service":    func(n *yaml.Node, at string) error { return readString(n, at, &a.Service) },
		"method":     func(n *yaml.Node, at string) error { return readString(n, at, &a.Method) },
		"pathPrefix": func(n *yaml.Node, at string) error { return readString(n, at, &a.PathPrefix) },
		"profile":    func(n *yaml.Node, at string) error { return readString(n, at, &a.Profile) },
	}, "service", "profile")
	return err
}

func readRoute(n *yaml.Node, at string, r *Route) error {
	_, err := readObject(n, at, fields{
		"name":       func(n *yaml.Node, at string) error { return readString(n, at, &r.Name) },
		"host":       func(n *yaml.Node, at string) error { return readString(n, at, &r.Host) },
		"pathPrefix": func(n *yaml.Node, at string) error { return readString(n, at, &r.PathPrefix) },
		"shares": func(n *yaml.Node, at string) error {
			return readList(n, at, MaxShares, &r.Shares, readShare)
		},
		"profile": func(n *yaml.Node, at string) error { return readString(n, at, &r.Profile) },
	}, "name", "host", "pathPrefix", "shares", "profile")
	return err
}

func readShare(n *yaml.Node, at string, s *Share) error {
	_, err := readObject(n, at, fields{
		"service": func(n *yaml.Node, at string) error { return readString(n, at, &s.Service) },
		"weight":  func(n *yaml.Node, at string) error { return readInt(n, at, &s.Weight) },
	}, "service", "weight")
	return err
}

func readProfile(n *yaml.Node, at string, p *Profile) error {
	*p = NewProfile("", 0)
	present, err := readObject(n, at, fields{
		"name":         func(n *yaml.Node, at string) error { return readString(n, at, &p.Name) },
		"priority":     func(n *yaml.Node, at string) error { return readInt(n, at, &p.Priority) },
		"internal":     func(n *yaml.Node, at string) error { return readBool(n, at, &p.Internal) },
		"public":       func(n *yaml.Node, at string) error { return readBool(n, at, &p.Public) },
		"unrepeatable": func(n *yaml.Node, at string) error { return readBool(n, at, &p.Unrepeatable) },
		"key":          func(n *yaml.Node, at string) error { return readString(n, at, &p.Key) },
		"record":       func(n *yaml.Node, at string) error { return readString(n, at, &p.Record) },
		"deadline":     func(n *yaml.Node, at string) error { return readText(n, at, &p.Deadline) },
		"target":       func(n *yaml.Node, at string) error { return readText(n, at, &p.Target) },
		"maxWait":      func(n *yaml.Node, at string) error { return readText(n, at, &p.MaxWait) },
		"credit":       func(n *yaml.Node, at string) error { return readInt(n, at, &p.Credit) },
		"brownout":     func(n *yaml.Node, at string) error { return readBrownout(n, at, &p.Brownout) },
		"prefer":       func(n *yaml.Node, at string) error { return readText(n, at, &p.Prefer) },
		"callerHeader": func(n *yaml.Node, at string) error { return readString(n, at, &p.CallerHeader) },
	}, "name", "priority")
	if !present["maxWait"] {
		p.MaxWait = p.Deadline / defaultWaitShare
	}
	return err
}

func readBrownout(n *yaml.Node, at string, b *Brownout) error {
	present, err := readObject(n, at, fields{
		"maxAge": func(n *yaml.Node, at string) error { return readText(n, at, &b.MaxAge) },
		"vary": func(n *yaml.Node, at string) error {
			return readList(n, at, MaxVary, &b.Vary, readString[string])
		},
	})
	if b.MaxAge > 0 && !present["vary"] {
		b.Vary = append(b.Vary, identityHeaders...)
	}
	return err
}
