// Package secure secures the connections between the processes of one system with
// mutual TLS.
//
// A Source holds the certificate of this process and the certificate authorities that
// it trusts, and reloads them while the process runs. Wrap returns a network whose
// connections authenticate both sides, before a byte of a call is sent: each side
// proves that it holds a key with a certificate of one of these authorities.
//
//	source, err := secure.NewSource(secure.Config{Cert: cert, Key: key, CA: ca})
//	go source.Run(ctx, nil)
//	network := secure.Wrap(tcp, source)
//
// The package guarantees:
//
//   - Dial returns a connection only after the peer has accepted this side's
//     certificate. A failed Dial therefore proves that no part of a call left
//     this process, as it does without TLS.
//   - A listener's Accept never waits for a handshake; the first read or write
//     of the connection does, for a bounded time.
//   - An unusable certificate never replaces a usable one.
//   - Each new connection is verified against the authorities that are trusted at that
//     time: there are no session tickets.
//
// The package does not compare a certificate with the identity that its holder states
// in calls or gossip: any process with a certified key is a full peer.
//
// All methods may be called concurrently.
package secure
