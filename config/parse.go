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
		return Set{}, setLines(err, root)
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
	_, err := readObject(n, "", fieldReaders{
		"version":  func(n *yaml.Node, path string) error { return readVersion(n, path, &s.Version) },
		"changeId": func(n *yaml.Node, path string) error { return readString(n, path, &s.ChangeID) },
		"author":   func(n *yaml.Node, path string) error { return readString(n, path, &s.Author) },
		"comment":  func(n *yaml.Node, path string) error { return readString(n, path, &s.Comment) },
		"at":       func(n *yaml.Node, path string) error { return readTime(n, path, &s.At) },
		"profiles": func(n *yaml.Node, path string) error {
			return readList(n, path, MaxProfiles, &s.Profiles, readProfile)
		},
		"assignments": func(n *yaml.Node, path string) error {
			return readList(n, path, MaxAssignments, &s.Assignments, readAssignment)
		},
		"routes": func(n *yaml.Node, path string) error {
			return readList(n, path, MaxRoutes, &s.Routes, readRoute)
		},
		"customers": func(n *yaml.Node, path string) error {
			return readList(n, path, customer.MaxCustomers, &s.Customers, readCustomer)
		},
		"limits": func(n *yaml.Node, path string) error { return readLimits(n, path, &s.Limits) },
	}, "profiles")
	return err
}

func readLimits(n *yaml.Node, path string, l *Limits) error {
	_, err := readObject(n, path, fieldReaders{
		"retryRatio":    func(n *yaml.Node, path string) error { return readFloat(n, path, &l.RetryRatio) },
		"headerBytes":   func(n *yaml.Node, path string) error { return readInt(n, path, &l.HeaderBytes) },
		"bodyBytes":     func(n *yaml.Node, path string) error { return readInt(n, path, &l.BodyBytes) },
		"headerTimeout": func(n *yaml.Node, path string) error { return readText(n, path, &l.HeaderTimeout) },
		"idleTimeout":   func(n *yaml.Node, path string) error { return readText(n, path, &l.IdleTimeout) },
	})
	return err
}

func readAssignment(n *yaml.Node, path string, a *Assignment) error {
	_, err := readObject(n, path, fieldReaders{
		"service":    func(n *yaml.Node, path string) error { return readString(n, path, &a.Service) },
		"method":     func(n *yaml.Node, path string) error { return readString(n, path, &a.Method) },
		"pathPrefix": func(n *yaml.Node, path string) error { return readString(n, path, &a.PathPrefix) },
		"profile":    func(n *yaml.Node, path string) error { return readString(n, path, &a.Profile) },
	}, "service", "profile")
	return err
}

func readRoute(n *yaml.Node, path string, r *Route) error {
	_, err := readObject(n, path, fieldReaders{
		"name":       func(n *yaml.Node, path string) error { return readString(n, path, &r.Name) },
		"host":       func(n *yaml.Node, path string) error { return readString(n, path, &r.Host) },
		"pathPrefix": func(n *yaml.Node, path string) error { return readString(n, path, &r.PathPrefix) },
		"shares": func(n *yaml.Node, path string) error {
			return readList(n, path, MaxShares, &r.Shares, readShare)
		},
		"profile": func(n *yaml.Node, path string) error { return readString(n, path, &r.Profile) },
	}, "name", "host", "pathPrefix", "shares", "profile")
	return err
}

func readShare(n *yaml.Node, path string, s *Share) error {
	_, err := readObject(n, path, fieldReaders{
		"service": func(n *yaml.Node, path string) error { return readString(n, path, &s.Service) },
		"weight":  func(n *yaml.Node, path string) error { return readInt(n, path, &s.Weight) },
	}, "service", "weight")
	return err
}

func readProfile(n *yaml.Node, path string, p *Profile) error {
	*p = NewProfile("", 0)
	present, err := readObject(n, path, fieldReaders{
		"name":         func(n *yaml.Node, path string) error { return readString(n, path, &p.Name) },
		"priority":     func(n *yaml.Node, path string) error { return readInt(n, path, &p.Priority) },
		"internal":     func(n *yaml.Node, path string) error { return readBool(n, path, &p.Internal) },
		"public":       func(n *yaml.Node, path string) error { return readBool(n, path, &p.Public) },
		"unrepeatable": func(n *yaml.Node, path string) error { return readBool(n, path, &p.Unrepeatable) },
		"key":          func(n *yaml.Node, path string) error { return readString(n, path, &p.Key) },
		"record":       func(n *yaml.Node, path string) error { return readString(n, path, &p.Record) },
		"deadline":     func(n *yaml.Node, path string) error { return readText(n, path, &p.Deadline) },
		"target":       func(n *yaml.Node, path string) error { return readText(n, path, &p.Target) },
		"maxWait":      func(n *yaml.Node, path string) error { return readText(n, path, &p.MaxWait) },
		"credit":       func(n *yaml.Node, path string) error { return readInt(n, path, &p.Credit) },
		"brownout":     func(n *yaml.Node, path string) error { return readBrownout(n, path, &p.Brownout) },
		"prefer":       func(n *yaml.Node, path string) error { return readText(n, path, &p.Prefer) },
		"callerHeader": func(n *yaml.Node, path string) error { return readString(n, path, &p.CallerHeader) },
	}, "name", "priority")
	if !present["maxWait"] {
		p.MaxWait = p.Deadline / maxWaitDivisor
	}
	return err
}

func readBrownout(n *yaml.Node, path string, b *Brownout) error {
	present, err := readObject(n, path, fieldReaders{
		"maxAge": func(n *yaml.Node, path string) error { return readText(n, path, &b.MaxAge) },
		"vary": func(n *yaml.Node, path string) error {
			return readList(n, path, MaxVary, &b.Vary, readString[string])
		},
	})
	if b.MaxAge > 0 && !present["vary"] {
		b.Vary = append(b.Vary, identityHeaders...)
	}
	return err
}
