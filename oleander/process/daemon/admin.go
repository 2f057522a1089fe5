package daemon

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"oleanderdale.org/core/instance"
	"oleanderdale.org/oleander/process/boottime"
)

// Status is the response to GET /status.
type Status struct {
	Instance       string `json:"instance"`
	Zone           string `json:"zone"`
	Version        uint64 `json:"version"`
	Ready          bool   `json:"ready"`
	ConfirmedAgeMS int64  `json:"heard_age_ms"` // time since the version was last confirmed to be the newest; -1: never
	instance.Status
}

// adminHandler serves health, status, burn and metrics without authentication, so
// the address must be reachable from the operators' network only.
func (i *Instance) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", i.serveReadiness)
	r.HandleFunc("/status", i.serveStatus)
	r.HandleFunc("/burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.burn.Snapshot()) })
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return r
}

func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-i.stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	default:
	}
	if !i.front.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var s Status
	if !i.loop.Do(func() { s = i.snapshot() }) {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

func (i *Instance) snapshot() Status {
	now := boottime.Now()
	status := i.core.Status(now)
	s := Status{
		Instance: string(i.name), Zone: i.settings.Zone, Ready: i.front.Ready(),
		ConfirmedAgeMS: -1, Status: status,
	}
	if c := i.Config(); c != nil {
		s.Version = uint64(c.Version)
		if status.ConfigConfirmed {
			s.ConfirmedAgeMS = status.ConfirmedAge.Milliseconds()
		}
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
