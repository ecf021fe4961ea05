package secure_test

import (
	"context"
	"fmt"
	"io"
	"net"

	"pollengauge.dev/secure"
	"pollengauge.dev/secure/securetest"
)

// tcp is a network without TLS.
type tcp struct{ dialer net.Dialer }

func (*tcp) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
func (t *tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return t.dialer.DialContext(ctx, "tcp", addr)
}

// Two ends of a connection authenticate each other with mutual TLS.
func Example() {
	authority := securetest.NewAuthority("example")
	leaf := authority.Issue("node", securetest.Options{})
	source, err := secure.NewSource(secure.Config{Cert: leaf.Cert, Key: leaf.Key, CA: authority.PEM()})
	if err != nil {
		fmt.Println(err)
		return
	}
	network := secure.Wrap(&tcp{}, source)
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = io.WriteString(conn, "hello, peer")
			_ = conn.Close()
		}
	}()
	conn, err := network.Dial(context.Background(), listener.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	text, _ := io.ReadAll(conn)
	fmt.Println(string(text))
	// Output: hello, peer
}
