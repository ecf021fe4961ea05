package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"pollengauge.dev/objects"
	"pollengauge.dev/platform/store"
)

const (
	// maxBody is the maximum size of a request body, in bytes. It is enough for
	// the largest value in base64, wrapped in JSON.
	maxBody       = objects.MaxValue/3*4 + 4096
	headerTimeout = 5 * time.Second
)

// Limits of one response: the number of objects or events, and the bytes of their
// values.
const (
	maxPage      = 500
	maxPageBytes = 1_000_000
)

// Server serves a Memory over the HTTP object API, along with /faults and /stats.
// It is an http.Handler; Start serves it on an address.
type Server struct {
	*Memory
	mux  *http.ServeMux
	http *http.Server
}

// New returns an empty Server.
func New(options Options) *Server {
	s := &Server{Memory: NewMemoryWith(options), mux: http.NewServeMux()}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	s.mux.HandleFunc("GET "+store.ObjectsPath+"{kind}/{name}", s.serveGet)
	s.mux.HandleFunc("GET "+store.ObjectsPath+"{kind}", s.serveKind)
	s.mux.HandleFunc("POST "+store.ObjectsPath+"{kind}", s.serveCreate)
	s.mux.HandleFunc("PUT "+store.ObjectsPath+"{kind}/{name}", s.serveUpdate)
	s.mux.HandleFunc("DELETE "+store.ObjectsPath+"{kind}/{name}", s.serveDelete)
	s.mux.HandleFunc("/faults", s.serveFaults)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return s
}

// ListenError means that Start could not listen.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start listens on addr, for example 127.0.0.1:0, and returns the address on which
// it listens. The server runs until Close.
func (s *Server) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", &ListenError{Addr: addr, Cause: err}
	}
	go s.http.Serve(listener) // returns http.ErrServerClosed after Close
	return listener.Addr().String(), nil
}

// Close stops listening and closes all connections.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(&eraWriter{ResponseWriter: w, memory: s.Memory}, r)
}

// eraWriter states the era in each response as of the time when it is sent.
type eraWriter struct {
	http.ResponseWriter
	memory *Memory
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.Header().Set(store.HeaderEra, strconv.FormatUint(w.memory.Era(), 10))
	w.ResponseWriter.WriteHeader(status)
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	read := s.Get
	if relaxed(r) {
		read = s.GetRelaxed
	}
	o, err := read(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	writeObject(w, o, err)
}

// serveKind serves a list, or a watch if the URL's query contains one.
func (s *Server) serveKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(store.QueryWatch) {
		s.serveWatch(w, r)
		return
	}
	if relaxed(r) {
		found, err := s.ListRelaxed(r.Context(), r.PathValue("kind"), "")
		writeList(w, found, 0, false, err)
		return
	}
	limit := pageLimit{objects: maxPage, bytes: maxPageBytes}
	found, revision, more, err := s.listPage(r.Context(), r.PathValue("kind"), "", r.URL.Query().Get(store.QueryAfter), limit)
	writeList(w, found, revision, more, err)
}

// relaxed reports whether a read allows a response that is seconds old.
func relaxed(r *http.Request) bool { return r.URL.Query().Get(store.QueryStale) == "1" }

func writeList(w http.ResponseWriter, found []objects.Object, revision uint64, more bool, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	list := store.List{Items: make([]store.Object, 0, len(found)), Revision: revision, HasMore: more}
	for _, o := range found {
		item, err := toWire(o)
		if err != nil {
			writeError(w, err)
			return
		}
		list.Items = append(list.Items, item)
	}
	writeJSON(w, list)
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request) {
	s.servePut(w, r, objects.OpCreate)
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request) {
	s.servePut(w, r, objects.OpUpdate)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request, op objects.Op) {
	var body store.Object
	if err := readJSON(w, r, &body); err != nil {
		writeError(w, err)
		return
	}
	name := body.Metadata.Name
	if op == objects.OpUpdate {
		name = r.PathValue("name")
		if err := objects.CheckVersion(body.Metadata.Revision); err != nil {
			writeError(w, err)
			return
		}
	}
	s.serveWrite(w, r, op, objects.Object{
		Name:    name,
		Version: body.Metadata.Revision,
		Value:   store.Unwrap(canonicalJSON(body.Specification)),
	})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	condition := r.URL.Query().Get(store.QueryRevision)
	version, err := strconv.ParseUint(condition, 10, 64)
	if err != nil || version == 0 {
		writeError(w, &objects.InvalidError{Field: store.QueryRevision, Value: condition, Want: "the object's revision"})
		return
	}
	s.serveWrite(w, r, objects.OpDelete, objects.Object{Name: r.PathValue("name"), Version: version})
}

// serveWrite serves a create, update or delete. The write takes effect even if the
// caller disconnects.
func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, op objects.Op, o objects.Object) {
	o.Kind = r.PathValue("kind")
	written, err := s.write(context.WithoutCancel(r.Context()), op, o)
	if _, ambiguous := err.(*objects.AmbiguousError); ambiguous {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeObject(w, written, err)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, fromErr := strconv.ParseUint(query.Get(store.QueryWatch), 10, 64)
	wait, waitErr := strconv.ParseUint(query.Get(store.QueryWait), 10, 32)
	if fromErr != nil || waitErr != nil {
		writeError(w, &objects.InvalidError{Field: "query", Value: r.URL.RawQuery, Want: "a revision and a wait in milliseconds"})
		return
	}
	wait = min(wait, store.MaxWaitMillis)
	events, next, err := s.watch(r.Context(), r.PathValue("kind"), from, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	list := store.Events{Events: make([]store.Event, 0, len(events)), Revision: next}
	for _, e := range events {
		o, err := toWire(e.Object)
		if err != nil {
			writeError(w, err)
			return
		}
		list.Events = append(list.Events, store.Event{Object: o, Deleted: e.Type == objects.EventDelete})
	}
	writeJSON(w, list)
}

// toWire converts an object to the JSON type of the HTTP API. The value of an
// object that another program wrote is sent as the JSON that was written.
func toWire(o objects.Object) (store.Object, error) {
	specification, err := encodeSpecification(o.Value)
	return store.Object{
		Metadata:      store.Metadata{Name: o.Name, Revision: o.Revision},
		Specification: specification,
	}, err
}

// encodeSpecification returns value itself if it is JSON that a client reads back
// byte for byte, and value wrapped in this project's format otherwise. If the
// entries of other programs were wrapped as well, these programs could not read
// them.
func encodeSpecification(value []byte) (json.RawMessage, error) {
	plain, err := json.Marshal(json.RawMessage(value))
	if err == nil && bytes.Equal(plain, value) && bytes.Equal(store.Unwrap(value), value) {
		return value, nil
	}
	return store.Wrap(value)
}

// canonicalJSON returns JSON as json.Marshal encodes it, which is how it is served:
// without insignificant white space and with HTML characters escaped.
func canonicalJSON(specification json.RawMessage) json.RawMessage {
	plain, err := json.Marshal(specification)
	if err != nil {
		return specification // can't happen: the body was decoded as JSON
	}
	return plain
}

// serveFaults returns the faults, after setting them on POST.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := readJSON(w, r, &f); err != nil {
			writeError(w, err)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, s.Faults())
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if _, over := err.(*http.MaxBytesError); over {
		return &objects.TooLargeError{What: "body", Limit: maxBody}
	}
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		return &objects.InvalidError{Field: "body", Value: err.Error(), Want: "JSON"}
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) { writeJSONStatus(w, http.StatusOK, v) }

func writeJSONStatus(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}

func writeObject(w http.ResponseWriter, o objects.Object, err error) {
	if err == nil {
		var item store.Object
		if item, err = toWire(o); err == nil {
			writeJSON(w, item)
			return
		}
	}
	writeError(w, err)
}

// errorBody is the body of an error response. Clients use only the status.
type errorBody struct {
	Error string `json:"error"`
}

// writeError writes the error response for err. Its statuses are the inverse of the
// client's mapping from statuses to errors.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch e := err.(type) {
	case *objects.NotFoundError:
		status = http.StatusNotFound
	case *objects.ConflictError:
		writeConflict(w, e)
		return
	case *objects.CompactedError:
		status = http.StatusGone
	case *objects.TooLargeError:
		status = http.StatusRequestEntityTooLarge
	case *objects.UnavailableError:
		status = http.StatusServiceUnavailable
		if cause, ok := e.Cause.(*objects.StatusError); ok {
			status = cause.Status
		}
		w.Header().Set("Retry-After", strconv.Itoa(int(e.RetryAfter.Seconds())))
	}
	writeJSONStatus(w, status, errorBody{Error: err.Error()})
}

// writeConflict writes the response to a conflict. It contains the stored object,
// except for a create: the documentation of the store's API promises the object
// only for a condition that is not met.
func writeConflict(w http.ResponseWriter, e *objects.ConflictError) {
	current, err := toWire(e.Current)
	if e.Op == objects.OpCreate || err != nil {
		writeJSONStatus(w, http.StatusConflict, errorBody{Error: e.Error()})
		return
	}
	writeJSONStatus(w, http.StatusConflict, current)
}
