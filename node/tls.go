package node

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"pollengauge.dev/observe"
	"pollengauge.dev/secure"
)

// TLSSettings configure mutual TLS on the connections between nodes: on the peer and
// gossip listeners and on all dials to them. The other listeners are not affected.
// The zero value disables TLS.
type TLSSettings struct {
	// Cert, Key and CA are this node's certificate, its private key and the
	// authorities that certify nodes. Each is PEM text or the path of a file that is
	// checked for changes every few seconds and on SIGHUP. Text can only change with
	// a restart; a file must be readable by the node.
	Cert, Key, CA string
	// Name is a DNS name or URI that every node's certificate must contain. It keeps
	// out other holders of a certificate from the same authority. If it is empty, the
	// authority alone is trusted.
	Name string
	// OnHangup makes SIGHUP check the files at once. A process that embeds a node and
	// uses the signal itself leaves it unset.
	OnHangup bool
}

func (t TLSSettings) enabled() bool { return t.Cert != "" || t.Key != "" || t.CA != "" || t.Name != "" }

func (t TLSSettings) config(notify secure.Notify) secure.Config {
	return secure.Config{Cert: t.Cert, Key: t.Key, CA: t.CA, Name: t.Name, Notify: notify}
}

// tls checks that the certificate, key and authorities can be used together.
func (c *checker) tls(t TLSSettings) {
	if !t.enabled() {
		return
	}
	_, err := secure.NewSource(t.config(secure.Notify{}))
	var unusable *secure.MaterialError
	if errors.As(err, &unusable) {
		value := map[string]string{"cert": t.Cert, "key": t.Key, "ca": t.CA}[unusable.Part]
		c.add("tls-"+unusable.Part, redactPEM(value), unusable.Error())
	}
}

// redactPEM returns value for an error message: a path as it is, and a placeholder
// for PEM text, which may be a private key.
func redactPEM(value string) string {
	if strings.ContainsAny(value, "\r\n") || strings.Contains(value, "-----") {
		return "(PEM text)"
	}
	return value
}

const (
	// noConnLimit disables the transport's own connection limit. peerLimiter limits the
	// connections instead: it refuses a call where the transport would wait.
	noConnLimit = 0
	// idlePeerDivisor is the divisor of PeerCalls that gives the number of idle
	// connections kept: calls reuse connections one after another.
	idlePeerDivisor = 4
)

// buildNetworks sets up the networks: one for callers, upstream and operator, and one
// between nodes with the transport for calls to them.
func (n *Node) buildNetworks() error {
	if err := n.chooseNetworks(); err != nil {
		return err
	}
	n.peerLimiter = newPeerLimiter(n.settings.PeerConns, n.settings.PeerCalls)
	n.peers = newTransport(n.peerNetwork, noConnLimit)
	n.peers.MaxIdleConnsPerHost = n.settings.PeerConns
	n.peers.MaxIdleConns = max(n.settings.PeerCalls/idlePeerDivisor, 1)
	// A node adds its report to the headers that its upstream may send.
	n.peers.MaxResponseHeaderBytes = maxResponseHeader + nodeHeaderBytes
	n.buildLinks()
	return nil
}

func (n *Node) chooseNetworks() error {
	n.network = n.settings.Network
	if n.network == nil {
		n.network = newTCPNetwork()
	}
	n.peerNetwork = n.network
	if !n.settings.TLS.enabled() {
		return nil
	}
	source, err := secure.NewSource(n.settings.TLS.config(secure.Notify{
		Changed:     n.noteTLSChanged,
		Refused:     func(err error) { n.log.Emit(observe.TLSKeyRefused, observe.Err(err)) },
		PeerRefused: func(err error) { n.log.Emit(observe.PeerRefused, observe.Err(err)) },
	}))
	if err != nil {
		return err
	}
	n.tls = source
	n.peerNetwork = secure.Wrap(n.network, source)
	return nil
}

func (n *Node) noteTLSChanged(info secure.Info) {
	n.log.Emit(observe.TLSKeyChanged,
		observe.Str("subject", info.Subject),
		observe.Str("serial", info.Serial),
		observe.Str("not_after", info.NotAfter.String()),
		observe.Int("authorities", info.Authorities))
}

// watchTLS reloads changed certificates until ctx ends.
func (n *Node) watchTLS(ctx context.Context) {
	if n.tls == nil {
		return
	}
	if !n.settings.TLS.OnHangup {
		n.done.Go(func() { n.tls.Run(ctx, nil) })
		return
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	n.done.Go(func() {
		defer signal.Stop(hangup)
		n.tls.Run(ctx, hangup)
	})
}
