package cli

import (
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"pollengauge.dev/node"
)

// envPrefix begins the name of every environment variable. The variable of
// --key-window is POLLENGAUGE_KEY_WINDOW.
const envPrefix = "POLLENGAUGE_"

// settingFlags binds flags to values and records every invalid value, so that all
// of them are reported together and not only the first.
type settingFlags struct {
	flags    *pflag.FlagSet
	problems []*node.SettingError
}

// setting is the pflag.Value of one flag. Set never fails: it records an invalid value
// as a problem of its owner.
type setting struct {
	owner   *settingFlags
	name    string
	kind    string
	allowed string
	value   string
	parse   func(string) bool
}

// String implements pflag.Value.
func (s *setting) String() string { return s.value }

// Type implements pflag.Value.
func (s *setting) Type() string { return s.kind }

// Set implements pflag.Value.
func (s *setting) Set(value string) error {
	s.value = value
	if !s.parse(value) {
		s.owner.problems = append(s.owner.problems, &node.SettingError{Name: s.name, Value: strconv.Quote(value), Allowed: s.allowed})
	}
	return nil
}

// add registers s as a flag.
func (f *settingFlags) add(s *setting, usage string) {
	s.owner = f
	f.flags.Var(s, s.name, usage)
}

func (f *settingFlags) text(p *string, name, usage string) {
	f.add(&setting{name: name, kind: "string", value: *p, parse: func(v string) bool {
		*p = v
		return true
	}}, usage)
}

func (f *settingFlags) list(p *[]string, name, usage string) {
	f.add(&setting{name: name, kind: "list", value: strings.Join(*p, ","), parse: func(v string) bool {
		*p = nil
		for item := range strings.SplitSeq(v, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*p = append(*p, item)
			}
		}
		return true
	}}, usage)
}

// number binds an integer flag. A value that can't be parsed is set to a number
// outside every range, so that node.Settings.Check reports the allowed range.
func (f *settingFlags) number(p *int, name, usage string) {
	f.add(&setting{name: name, kind: "int", allowed: "a whole number", value: strconv.Itoa(*p), parse: func(v string) bool {
		n, err := strconv.Atoi(v)
		if err != nil {
			n = math.MinInt
		}
		*p = n
		return err == nil
	}}, usage)
}

func (f *settingFlags) ratio(p *float64, name, usage string) {
	f.add(&setting{name: name, kind: "ratio", allowed: "0 to 1", value: strconv.FormatFloat(*p, 'g', -1, 64), parse: func(v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0 && n <= 1) {
			return false
		}
		*p = n
		return true
	}}, usage)
}

// amount binds a flag with a floating-point number. Like number, it sets a value that
// can't be parsed to one outside every range.
func (f *settingFlags) amount(p *float64, name, usage string) {
	f.add(&setting{name: name, kind: "number", allowed: "a number", value: strconv.FormatFloat(*p, 'g', -1, 64), parse: func(v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			n = math.Inf(-1)
		}
		*p = n
		return err == nil
	}}, usage)
}

func (f *settingFlags) duration(p *time.Duration, name, usage string) {
	f.add(&setting{name: name, kind: "duration", allowed: "a duration such as 250ms or 30s", value: p.String(), parse: func(v string) bool {
		d, err := time.ParseDuration(v)
		if err != nil {
			d = math.MinInt64
		}
		*p = d
		return err == nil
	}}, usage)
}

// fromEnvironment sets the settings that are not on the command line from their
// environment variables. An empty variable counts as not set. --check and --help
// are not settings and have no variable.
func (f *settingFlags) fromEnvironment() {
	f.flags.VisitAll(func(flag *pflag.Flag) {
		if _, isSetting := flag.Value.(*setting); !isSetting || flag.Changed {
			return
		}
		if value := os.Getenv(envName(flag.Name)); value != "" {
			_ = flag.Value.Set(value)
		}
	})
}

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// check returns the problems found while parsing the flags, joined with those of
// node.Settings.Check, or nil. For a setting that both found, the error shows the
// value as the operator wrote it and the range that the node allows.
func (f *settingFlags) check(s node.Settings) error {
	var own []*node.SettingError
	if err, ok := s.Check().(*node.SettingsError); ok {
		own = err.Problems
	}
	problems := f.problems
	known := make(map[string]*node.SettingError, len(problems))
	for _, p := range problems {
		known[p.Name] = p
	}
	for _, p := range own {
		if given, ok := known[p.Name]; ok {
			given.Allowed = f.allowed(p)
			continue
		}
		problems = append(problems, &node.SettingError{Name: p.Name, Value: p.Value, Allowed: f.allowed(p)})
	}
	problems = append(problems, sharedListeners(s)...)
	if len(problems) == 0 {
		return nil
	}
	return &node.SettingsError{Problems: problems}
}

// sharedListeners returns a problem for each listener with the same address as
// another. Without it the settings would pass --check, and the node would fail at
// its start with "address already in use".
func sharedListeners(s node.Settings) []*node.SettingError {
	const anyPort = "0"
	var problems []*node.SettingError
	first := make(map[string]string)
	for _, listener := range []struct{ name, address string }{
		{"edge", s.Edge}, {"peer", s.Peer}, {"outbound", s.Outbound}, {"gossip", s.Gossip}, {"admin", s.Admin},
	} {
		_, port, err := net.SplitHostPort(listener.address)
		if err != nil || port == anyPort {
			continue
		}
		if other, taken := first[listener.address]; taken {
			problems = append(problems, &node.SettingError{
				Name: listener.name, Value: listener.address, Allowed: "an address of its own, --" + other + " has this one",
			})
			continue
		}
		first[listener.address] = listener.name
	}
	return problems
}

// unknownVariables returns the sorted names of the environment variables with
// envPrefix that no setting reads. They cause a warning and not an error, because
// during an upgrade two builds may share one environment.
func (f *settingFlags) unknownVariables() []string {
	var stray []string
	for _, entry := range os.Environ() {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, envPrefix) || value == "" || name == envNodes || name == envAuthor {
			continue
		}
		flag := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, envPrefix), "_", "-"))
		if found := f.flags.Lookup(flag); found == nil || envName(flag) != name {
			stray = append(stray, name)
		}
	}
	slices.Sort(stray)
	return stray
}

// allowed returns the range of a setting, followed by the form in which its value is
// written.
func (f *settingFlags) allowed(p *node.SettingError) string {
	flag := f.flags.Lookup(p.Name)
	if flag == nil {
		return p.Allowed
	}
	if s, ok := flag.Value.(*setting); ok && s.allowed != "" {
		return p.Allowed + " (" + s.allowed + ")"
	}
	return p.Allowed
}

// nodeFlags binds every process setting of a node.
func nodeFlags(cmd *cobra.Command, s *node.Settings) *settingFlags {
	f := &settingFlags{flags: cmd.Flags()}
	f.text(&s.Service, "service", "service of the upstream on this VM")
	f.text(&s.Zone, "zone", "availability zone of this VM")
	f.text(&s.Region, "region", "region of this VM")
	f.text(&s.Edge, "edge", "listener for callers from outside (host:port)")
	f.text(&s.Peer, "peer", "listener for calls from other nodes (host:port)")
	f.text(&s.Outbound, "outbound", "listener for the upstream's calls; keep on loopback (host:port)")
	f.text(&s.Gossip, "gossip", "listener for membership (host:port)")
	f.text(&s.Admin, "admin", "listener for operators and the upstream's announcement; keep on loopback (host:port)")
	f.text(&s.AdvertisePeer, "advertise-peer", "where other nodes reach --peer, if not at its bound address (host:port)")
	f.text(&s.AdvertiseGossip, "advertise-gossip", "where other nodes reach --gossip, if not at its bound address (host:port)")
	f.text(&s.PlatformURL, "platform", "URL of the platform's object API; if empty, the node gets its state from peers only")
	f.list(&s.Peers, "peers", "gossip addresses of other nodes, comma separated")
	f.number(&s.Slots, "slots", "calls in the upstream at once until it announces its own number")
	f.number(&s.UpstreamConns, "upstream-conns", "connections to the upstream")
	f.number(&s.PeerConns, "peer-conns", "calls at each other node at once")
	f.number(&s.PeerCalls, "peer-calls", "calls at all other nodes at once")
	f.text((*string)(&s.PeerProtocol), "peer-protocol", "calls to other nodes: auto (shared connections with each node that offers them) or http1")
	f.number(&s.EdgeConns, "edge-conns", "connections accepted at the edge")
	f.number(&s.PeerInbound, "peer-inbound", "connections accepted from other nodes")
	f.number(&s.MaxHeaderBytes, "max-header-bytes", "bytes of a request's header block")
	f.number(&s.HeadMemory, "head-memory", "bytes of memory that requests with large header blocks take together; more wait")
	f.number(&s.MaxReplayBytes, "max-replay-bytes", "bytes of a request body kept for a retry; longer bodies are tried once")
	f.number(&s.MaxAnswerBytes, "max-answer-bytes", "bytes of one stored answer of a keyed call")
	f.number(&s.KeyEntries, "key-entries", "idempotency keys remembered; a full table refuses new ones")
	f.duration(&s.KeyWindow, "key-window", "how long the fate of a key is kept")
	f.duration(&s.BodyTimeout, "body-timeout", "bound on reading one request body")
	f.duration(&s.Quota.Window, "quota-window", "any span in which a customer's requests are counted")
	f.ratio(&s.Quota.Over, "quota-over", "part of a customer's limit by which its requests in a window may exceed it")
	f.amount(&s.Quota.Slack, "quota-slack", "requests of a customer that may come on top in a window")
	f.duration(&s.DrainTimeout, "drain-timeout", "bound on waiting for calls in flight")
	f.list(&s.NeutralHeaders, "neutral-headers", "request headers with no bearing on the answer, such as a correlation id, comma separated")
	f.number(&s.Lookback, "lookback", "hops kept for explain")
	f.duration(&s.GossipInterval, "gossip-interval", "time between membership exchanges")
	s.TLS.OnHangup = true
	f.text(&s.TLS.Cert, "tls-cert", "certificate for the connections between nodes: a file, or PEM text in the variable; empty uses no TLS")
	f.text(&s.TLS.Key, "tls-key", "private key of --tls-cert: a file, or PEM text in the variable")
	f.text(&s.TLS.CA, "tls-ca", "authorities that certify nodes: a file, or PEM text in the variable")
	f.text(&s.TLS.Name, "tls-name", "DNS name or URI that the certificate of every node must carry; empty asks for none")
	f.text(&s.OTLPEndpoint, "otlp", "OTLP/HTTP endpoint for spans; empty exports none")
	f.ratio(&s.TraceRatio, "trace-ratio", "share of new traces that are exported")
	return f
}
