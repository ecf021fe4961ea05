package call

import (
	"net/http"
	"strconv"
)

// headerFields writes headers whose names are in canonical form. All values share one
// array, whereas http.Header.Set allocates one for each header.
type headerFields struct {
	h      http.Header
	values []string
}

// newHeaderFields returns a writer to h with room for the given number of headers.
func newHeaderFields(h http.Header, count int) headerFields {
	return headerFields{h: h, values: make([]string, 0, count)}
}

// set replaces the values of a header.
func (f *headerFields) set(name, value string) {
	f.values = append(f.values, value)
	last := len(f.values)
	f.h[name] = f.values[last-1 : last : last]
}

func (f *headerFields) setNumber(name string, value int) { f.set(name, strconv.Itoa(value)) }

// setOptional sets a header that is absent if its value is empty.
func (f *headerFields) setOptional(name, value string) {
	if value == "" {
		delete(f.h, name)
		return
	}
	f.set(name, value)
}

// setOptionalNumber sets a header that is absent if its value is 0.
func (f *headerFields) setOptionalNumber(name string, value int) {
	if value == 0 {
		delete(f.h, name)
		return
	}
	f.setNumber(name, value)
}

// fieldOf returns the first value of a header whose name is in canonical form, "" if
// there is none.
func fieldOf(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}
