package baseline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Settings are the settings of one forwarder, which runs beside one upstream.
type Settings struct {
	Service string
	// Upstream is the address of the local upstream.
	Upstream string
	Registry *Registry
	Limiter  Limiter
	// Attempts is the maximum number of attempts of a hop, regardless of the
	// HTTP method.
	Attempts int
	// AttemptTimeout is the timeout of each attempt.
	AttemptTimeout time.Duration
	// Dial opens connections to other forwarders; nil means plain TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Listen opens ports, and DialLocal opens connections to the upstream; nil
	// means plain TCP.
	Listen    func(addr string) (net.Listener, error)
	DialLocal func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Forwarder forwards the requests to and from one upstream.
type Forwarder struct {
	settings          Settings
	edge              *endpoint
	inbound           *endpoint
	outbound          *endpoint
	upstreamTransport *http.Transport
	peerTransport     *http.Transport
}

// maxBodyBytes limits the request body, which is buffered for further attempts.
const maxBodyBytes = 1 << 20

const maxIdleConnsPerHost = 256

// Start starts a forwarder and adds it to the registry. It opens three loopback
// ports: the edge for clients, the inbound port for other forwarders and the
// outbound port for the local upstream.
func Start(s Settings) (*Forwarder, error) {
	f := &Forwarder{
		settings:          s,
		upstreamTransport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, DialContext: s.DialLocal},
		peerTransport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, DialContext: s.Dial},
	}
	for endpoint, handler := range map[**endpoint]http.HandlerFunc{
		&f.edge:     func(w http.ResponseWriter, r *http.Request) { f.forward(w, r, s.Service) },
		&f.inbound:  f.serveInbound,
		&f.outbound: func(w http.ResponseWriter, r *http.Request) { f.forward(w, r, r.Host) },
	} {
		opened, err := s.serve(handler)
		if err != nil {
			f.Close()
			return nil, &ListenError{Service: s.Service, Err: err}
		}
		*endpoint = opened
	}
	s.Registry.Add(s.Service, f.inbound.addr)
	return f, nil
}

// Edge returns the address for clients.
func (f *Forwarder) Edge() string { return f.edge.addr }

// Inbound returns the address for other forwarders.
func (f *Forwarder) Inbound() string { return f.inbound.addr }

// Outbound returns the address for the local upstream.
func (f *Forwarder) Outbound() string { return f.outbound.addr }

// Close closes all ports and connections at once.
func (f *Forwarder) Close() {
	for _, e := range []*endpoint{f.edge, f.inbound, f.outbound} {
		if e != nil {
			_ = e.server.Close()
		}
	}
	f.upstreamTransport.CloseIdleConnections()
	f.peerTransport.CloseIdleConnections()
}

type endpoint struct {
	addr   string
	server *http.Server
}

const headerTimeout = 10 * time.Second

func (s Settings) listen() (net.Listener, error) {
	const anyPort = "127.0.0.1:0"
	if s.Listen != nil {
		return s.Listen(anyPort)
	}
	return net.Listen("tcp", anyPort)
}

func (s Settings) serve(handler http.Handler) (*endpoint, error) {
	listener, err := s.listen()
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return &endpoint{addr: listener.Addr().String(), server: server}, nil
}

// serveInbound passes a request to the local upstream if the limiter accepts it;
// otherwise it answers with status 503.
func (f *Forwarder) serveInbound(w http.ResponseWriter, r *http.Request) {
	if !f.settings.Limiter.Acquire() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	start := time.Now()
	got := &answer{status: http.StatusBadRequest}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		got, err = f.attempt(r, f.upstreamTransport, f.settings.Upstream, body)
	}
	f.settings.Limiter.Release(time.Since(start), err == nil)
	got.write(w)
}

// forward sends a request to replicas of service until an attempt succeeds, all
// attempts are used up or the caller disconnects.
func (f *Forwarder) forward(w http.ResponseWriter, r *http.Request, service string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	got := &answer{status: http.StatusBadGateway}
	for _, addr := range f.settings.Registry.pick(service, f.settings.Attempts) {
		ctx, cancel := context.WithTimeout(r.Context(), f.settings.AttemptTimeout)
		got, err = f.attempt(r.WithContext(ctx), f.peerTransport, addr, body)
		cancel()
		if err == nil || r.Context().Err() != nil {
			break
		}
	}
	got.write(w)
}

// answer is a complete response, buffered in memory.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) write(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// attempt sends the request to addr once. If it returns an error, the returned
// answer is the one to send to the caller if no further attempt is made.
func (f *Forwarder) attempt(r *http.Request, transport *http.Transport, addr string, body []byte) (*answer, error) {
	failed := &answer{status: http.StatusBadGateway}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return failed, err
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Connection")
	out.Host = r.Host
	resp, err := transport.RoundTrip(out)
	if err != nil {
		return failed, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return failed, err
	}
	resp.Header.Del("Connection")
	a := &answer{status: resp.StatusCode, header: resp.Header, body: got}
	if a.status >= http.StatusInternalServerError {
		return a, &AnswerError{Addr: addr, Status: a.status}
	}
	return a, nil
}
