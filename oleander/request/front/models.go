package front

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// modelEntry is one entry of the list of models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels lists the models and adapters that the caller's account may use,
// or describes a single one.
func (f *Front) handleModels(w http.ResponseWriter, r *http.Request) {
	_, digest, err := parseAPIKey(r)
	if err != nil {
		writeProblem(w, problemFromError(err))
		return
	}
	c := f.config()
	if c == nil {
		writeProblem(w, problemFromRefusal(event.Refusal{Reason: event.ReasonStopping, Execution: event.NotRun}, ""))
		return
	}
	account, ok := accountOfKey(c, digest)
	if !ok {
		writeProblem(w, problemFromRefusal(event.Refusal{Reason: event.ReasonUnknownKey, Execution: event.NotRun}, ""))
		return
	}
	models := approvedModels(c, account)
	name, err := url.PathUnescape(mux.Vars(r)["model"])
	if err != nil || name == "" {
		writeJSON(w, modelList{Object: "list", Data: models})
		return
	}
	i := slices.IndexFunc(models, func(m modelEntry) bool { return m.ID == name })
	if i < 0 {
		writeProblem(w, problemFromRefusal(event.Refusal{Reason: event.ReasonNoTarget, Execution: event.NotRun}, ""))
		return
	}
	writeJSON(w, models[i])
}

// approvedModels returns the models and adapters that account may use, sorted by
// name.
func approvedModels(c *config.Config, account id.Account) []modelEntry {
	list := []modelEntry{}
	for name, a := range c.Artifacts {
		if c.Approved(account, name) {
			list = append(list, modelEntry{ID: string(name), Object: "model", OwnedBy: c.Groups[a.Group].Owner})
		}
	}
	slices.SortFunc(list, func(a, b modelEntry) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", mediaTypeJSON)
	_ = json.NewEncoder(w).Encode(v)
}
