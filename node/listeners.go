package node

import (
	"errors"
	"net/http"
	"time"

	"pollengauge.dev/observe"
)

// Listener names one of a node's listeners, each for an audience of its own.
type Listener string

// The listeners of a node.
const (
	// EdgeListener takes requests of callers from outside.
	EdgeListener Listener = "edge"
	// PeerListener takes calls and keys from other nodes.
	PeerListener Listener = "peer"
	// OutboundListener takes the calls that the upstream on this VM makes.
	OutboundListener Listener = "outbound"
	// GossipListener takes the exchanges of the membership.
	GossipListener Listener = "gossip"
	// AdminListener takes operators and the upstream's announcement.
	AdminListener Listener = "admin"
)

// betweenNodes tells whether only other nodes may reach l, so that TLS guards
// it if there is any.
func (l Listener) betweenNodes() bool { return l == PeerListener || l == GossipListener }

// networkOf returns the network of a listener.
func (n *Node) networkOf(l Listener) Network {
	if l.betweenNodes() {
		return n.between
	}
	return n.network
}

func (n *Node) listenAll() error {
	for _, at := range []struct {
		name Listener
		addr string
	}{
		{EdgeListener, n.settings.Edge},
		{PeerListener, n.settings.Peer},
		{OutboundListener, n.settings.Outbound},
		{GossipListener, n.settings.Gossip},
		{AdminListener, n.settings.Admin},
	} {
		if at.addr == "" {
			continue // only Check lets a listener without an address pass
		}
		if err := n.listen(at.name, at.addr); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listen(name Listener, addr string) error {
	listener, err := n.networkOf(name).Listen(addr)
	if err != nil {
		n.log.Emit(observe.ListenFailed, observe.Str("listener", string(name)), observe.Str("addr", addr), observe.Err(err))
		return &ListenError{Listener: name, Addr: addr, Cause: err}
	}
	n.listeners[name] = listener
	n.log.Emit(observe.Listening, observe.Str("listener", string(name)), observe.Str("addr", listener.Addr().String()))
	return nil
}

func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// Addr returns the bound address of a listener, "" before Start.
func (n *Node) Addr(l Listener) string {
	listener, ok := n.listeners[l]
	if !ok {
		return ""
	}
	return listener.Addr().String()
}

// Bounds on the connections of each listener.
const (
	adminConns        = 64
	readHeaderTimeout = 10 * time.Second
	keepAliveTimeout  = 2 * time.Minute
)

// serve runs one HTTP server. A malformed or slow request head is answered
// and closed by net/http within its limits.
func (n *Node) serve(name Listener, handler http.Handler, conns int) {
	server := &http.Server{
		Handler:           n.guard(name, handler),
		ReadHeaderTimeout: readHeaderTimeout,
		// A sender announces a body and stalls. Where no handler reads it,
		// net/http itself waits for the rest, and the connection would be held
		// for ever; 64 of them shut operators out of the admin API. A handler
		// that reads the body lifts this at its end.
		ReadTimeout: readHeaderTimeout + n.settings.BodyTimeout,
		IdleTimeout: n.longestIdle(name),
		// guard holds the limit itself and answers with a reason; net/http
		// only cuts off what is far beyond it.
		MaxHeaderBytes: n.settings.MaxHeaderBytes + 2*nodeHeaderBytes,
		ErrorLog:       n.serverLog(name),
		ConnState:      n.connState(name, conns),
		// "OPTIONS *" gets an outcome like any other request.
		DisableGeneralOptionsHandler: true,
	}
	if n.listeners[name] == nil {
		return
	}
	listener := limitListener(n.listeners[name], conns)
	if n.forCallers(name) {
		listener = n.readAhead(listener)
		server.ConnContext = withConn
	}
	n.servers = append(n.servers, server)
	n.done.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.log.Emit(observe.NodeFailed, observe.Str("listener", string(name)), observe.Err(err))
		}
	})
}
