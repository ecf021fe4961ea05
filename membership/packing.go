package membership

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"
	"sync"
)

// packer keeps the payload of one version in the form in which it travels, for
// all who ask for it.
//
// The failure: an operator's configuration grows to hundreds of kilobytes of text,
// which each member fetches. Over a narrow link a transfer outlasts its time, and
// the bytes between availability zones rise with every change. Text of this kind
// shrinks to a tenth.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

// pack returns data in packed form, or as it is where that is no longer.
func (p *packer) pack(version uint64, data []byte) (packed []byte, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != version || p.packed == nil {
		p.version, p.packed = version, gzipped(data)
	}
	if len(p.packed) >= len(data) {
		return data, false
	}
	return p.packed, true
}

// gzipped writes to memory, which does not fail, at a level that is known.
func gzipped(data []byte) []byte {
	var out bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return out.Bytes()
}

// unpack is the inverse of pack. More than limit bytes are an *InvalidError: a few
// packed bytes could otherwise fill the memory.
func unpack(packed []byte, limit int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, &InvalidError{Field: "data", Value: err.Error(), Want: "a packed payload"}
	}
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, &InvalidError{Field: "data", Value: err.Error(), Want: "a packed payload"}
	}
	if len(data) > limit {
		return nil, &InvalidError{Field: "data", Value: strconv.Itoa(len(data)), Want: "at most " + strconv.Itoa(limit)}
	}
	return data, nil
}
