package pipelining

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkServe accounts for one request of a caller that does not pipeline.
func BenchmarkServe(b *testing.B) {
	head := "GET /browse/items/4711?page=2 HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: client/1.0\r\n" +
		"Accept: application/json\r\nAccept-Encoding: gzip\r\nX-Request-Id: 0123456789abcdef0123456789abcdef\r\n\r\n"
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
	if err != nil {
		b.Fatal(err)
	}
	bytes := []byte(head)
	var s splitter
	b.ReportAllocs()
	for b.Loop() {
		s.add(bytes)
		if s.serve(r) < 0 {
			b.Fatal("gave up")
		}
	}
}
