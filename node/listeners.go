package node

import (
	"errors"
	"net"
	"net/http"
	"time"

	"pollengauge.dev/headread"
	"pollengauge.dev/observe"
)

// Listener names one of a node's listeners. Each serves a different audience.
type Listener string

// The listeners of a node.
const (
	// EdgeListener accepts requests of callers from outside.
	EdgeListener Listener = "edge"
	// PeerListener accepts calls and keys from other nodes.
	PeerListener Listener = "peer"
	// OutboundListener accepts the calls that the upstream on this VM makes.
	OutboundListener Listener = "outbound"
	// GossipListener accepts membership exchanges.
	GossipListener Listener = "gossip"
	// AdminListener accepts requests of operators and the upstream's announcements.
	AdminListener Listener = "admin"
)

// betweenNodes reports whether only other nodes may reach l. Such listeners use TLS if
// it is configured.
func (l Listener) betweenNodes() bool { return l == PeerListener || l == GossipListener }

// networkOf returns the network of a listener.
func (n *Node) networkOf(l Listener) Network {
	if l.betweenNodes() {
		return n.peerNetwork
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
			continue // Check allows this only for the edge listener of a node with a dialect
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

// serve runs one HTTP server. Its listener refuses heads outside the limits, and net/http
// answers a malformed head and closes its connection.
func (n *Node) serve(name Listener, handler http.Handler, conns int) {
	server := &http.Server{
		Handler:           n.upgradeLinks(name, n.guard(name, handler)),
		ReadHeaderTimeout: n.longestHead(name),
		// A sender may announce a body and stall. If no handler reads the body,
		// net/http itself waits for the rest, and would keep the connection open for
		// ever; 64 such connections kept operators from using the admin API. A handler
		// that reads the body removes this limit at the body's end.
		ReadTimeout: n.longestHead(name) + n.settings.BodyTimeout,
		IdleTimeout: n.longestIdle(name),
		// The listener has already enforced the limits.
		MaxHeaderBytes: n.settings.MaxHeaderBytes + guardedHeadBytes,
		ErrorLog:       n.serverLog(name),
		ConnState:      n.connState(name, conns),
		ConnContext:    withServedConn,
		// "OPTIONS *" gets an outcome like any other request.
		DisableGeneralOptionsHandler: true,
	}
	if n.listeners[name] == nil {
		return
	}
	limited := limitListener(n.listeners[name], conns, &n.lingering)
	listener := net.Listener(headread.NewListener(limited, conns, n.headConfig(name)))
	if n.forCallers(name) {
		listener = n.pipelined(listener)
		n.callerListeners = append(n.callerListeners, limited.raw)
	}
	n.servers = append(n.servers, server)
	n.done.Go(func() {
		err := server.Serve(listener)
		if closedByDrain := n.ending.Load() && errors.Is(err, net.ErrClosed); !closedByDrain && !errors.Is(err, http.ErrServerClosed) {
			n.log.Emit(observe.NodeFailed, observe.Str("listener", string(name)), observe.Err(err))
		}
	})
}
