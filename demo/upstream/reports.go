package upstream

import (
	"encoding/json"
	"net/http"
	"time"
)

// Paths of the reports that every upstream serves. healthPath returns status
// 200 or 503, and loadPath returns a loadReport in JSON.
const (
	healthPath = "/health"
	loadPath   = "/load"
)

func (u *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !u.reports.healthy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// loadReport is the response body of loadPath.
type loadReport struct {
	Workers int `json:"workers"`
	// Load is the number of requests in progress or queued per worker. Above 1
	// some requests are waiting.
	Load float64 `json:"load"`
}

// Load returns the load as the upstream reports it; 1 means one request per
// worker. SetReporting can make the value outdated or wrong.
func (u *Server) Load() float64 {
	load := float64(u.InFlight()) / float64(u.settings.Workers)
	return u.reports.report(load, time.Now())
}

func (u *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(loadReport{Workers: u.settings.Workers, Load: u.Load()})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
