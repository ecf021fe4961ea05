package admission

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Default values for zero fields of BrownoutConfig.
const (
	DefaultBrownoutMaxAge     = time.Minute
	DefaultBrownoutMaxBytes   = 16 << 20
	DefaultBrownoutMaxEntries = 4096
	// maxResponseDivisor limits one response to MaxBytes divided by this number.
	maxResponseDivisor = 16
)

// BrownoutConfig configures a Brownout.
type BrownoutConfig struct {
	// MaxAge is the age above which a stored response is no longer used. Zero
	// means a minute.
	MaxAge time.Duration
	// MaxBytes bounds the stored keys, headers and bodies. Zero means 16 MiB.
	MaxBytes int
	// MaxEntries bounds the number of stored responses. Zero means 4096.
	MaxEntries int
	// NeutralHeaders are the request headers that are not part of the key, in
	// addition to those set by nodes. Every other header is part of it, so that
	// no unknown means of identifying a caller can lead to another caller's
	// response. A longer list finds more responses, but a header that may
	// identify a caller must not be listed. Nil means DefaultNeutralHeaders.
	NeutralHeaders []string
}

// Answer is a complete response. Its fields must not be modified.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Brownout stores recent complete responses, to be sent with their age instead
// of a refusal. A response is returned only for a request with the same method,
// URL, caller and headers as the request that it was made for.
type Brownout struct {
	config  BrownoutConfig
	neutral map[string]bool

	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[string, *storedResponse]
}

type storedResponse struct {
	answer Answer
	stored time.Time
	size   int
}

// NewBrownout returns a Brownout for the configuration, or a *ConfigError if
// the configuration is invalid.
func NewBrownout(config BrownoutConfig) (*Brownout, error) {
	if config.MaxAge < 0 {
		return nil, &ConfigError{Field: "MaxAge", Value: config.MaxAge.String(), Want: "at least 0"}
	}
	if config.MaxBytes < 0 {
		return nil, &ConfigError{Field: "MaxBytes", Value: strconv.Itoa(config.MaxBytes), Want: "at least 0"}
	}
	if config.MaxEntries < 0 {
		return nil, &ConfigError{Field: "MaxEntries", Value: strconv.Itoa(config.MaxEntries), Want: "at least 0"}
	}
	if config.MaxAge == 0 {
		config.MaxAge = DefaultBrownoutMaxAge
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = DefaultBrownoutMaxBytes
	}
	if config.MaxEntries == 0 {
		config.MaxEntries = DefaultBrownoutMaxEntries
	}
	if config.NeutralHeaders == nil {
		config.NeutralHeaders = DefaultNeutralHeaders
	}
	b := &Brownout{config: config, neutral: make(map[string]bool)}
	for _, name := range config.NeutralHeaders {
		b.neutral[http.CanonicalHeaderKey(name)] = true
	}
	lru, err := simplelru.NewLRU(config.MaxEntries, func(_ string, s *storedResponse) { b.bytes -= s.size })
	if err != nil {
		return nil, &ConfigError{Field: "MaxEntries", Value: strconv.Itoa(config.MaxEntries), Want: err.Error()}
	}
	b.lru = lru
	return b, nil
}

// Put stores a complete response if it may be reused, and reports whether it
// was stored.
func (b *Brownout) Put(key BrownoutKey, a Answer, now time.Time) bool {
	if !storable(key, a) {
		return false
	}
	text := b.text(key)
	s := &storedResponse{
		answer: Answer{Status: a.Status, Header: a.Header.Clone(), Body: slices.Clone(a.Body)},
		stored: now,
		size:   len(text) + len(a.Body) + headerSize(a.Header),
	}
	if s.size > b.config.MaxBytes/maxResponseDivisor {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The eviction callback subtracts the size of a replaced response.
	b.lru.Remove(text)
	b.lru.Add(text, s)
	b.bytes += s.size
	for b.bytes > b.config.MaxBytes {
		b.lru.RemoveOldest()
	}
	return true
}

// Get returns the stored response to a request and the response's age.
func (b *Brownout) Get(key BrownoutKey, now time.Time) (a Answer, age time.Duration, ok bool) {
	if !safeMethod(key.Method) {
		return Answer{}, 0, false
	}
	text := b.text(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.lru.Get(text)
	if !ok {
		return Answer{}, 0, false
	}
	age = max(now.Sub(s.stored), 0)
	if age > b.config.MaxAge {
		b.lru.Remove(text)
		return Answer{}, 0, false
	}
	return s.answer, age, true
}

// Size returns the number of stored responses and their size in bytes.
func (b *Brownout) Size() (entries, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lru.Len(), b.bytes
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// storable reports whether a response may be reused. Responses that set a
// cookie, that forbid storing, or that depend on more than the request may not.
func storable(key BrownoutKey, a Answer) bool {
	if !safeMethod(key.Method) || a.Status != http.StatusOK {
		return false
	}
	if len(a.Header.Values("Set-Cookie")) > 0 {
		return false
	}
	if strings.Contains(strings.Join(a.Header.Values("Vary"), ","), "*") {
		return false
	}
	directives := strings.ToLower(strings.Join(a.Header.Values("Cache-Control"), ","))
	return !strings.Contains(directives, "no-store")
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
