package membership

import (
	"bytes"
	"compress/gzip"
	"io"
	"strconv"
	"sync"
)

// packer caches the compressed payload of one configuration version for all peers that
// pull it.
//
// An operator's configuration can grow to hundreds of kilobytes of text, which each
// member fetches. Uncompressed, its transfer over a narrow link exceeds the timeout, and
// each change of the configuration multiplies the bytes between availability zones. Text
// of this kind compresses to a tenth.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

// pack returns the compressed data, or data itself and false if compression doesn't
// shorten it.
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

// gzipped compresses data. The errors are ignored: writes to memory don't fail, and the
// compression level is valid.
func gzipped(data []byte) []byte {
	var out bytes.Buffer
	writer, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return out.Bytes()
}

// unpack is the inverse of pack. It returns an *InvalidError for more than limit bytes,
// because a few compressed bytes could otherwise expand to fill the memory.
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
