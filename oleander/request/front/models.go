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

// modelBody is one entry of the list of models.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// models lists the models and adapters that the caller's account may call.
func (f *Front) models(w http.ResponseWriter, r *http.Request) {
	_, digest, err := keyOf(r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	c := f.config()
	if c == nil {
		writeProblem(w, fromRefusal(event.Refusal{Reason: event.ReasonStopping, Execution: event.NotRun}, ""))
		return
	}
	account, ok := accountOf(c, digest)
	if !ok {
		writeProblem(w, fromRefusal(event.Refusal{Reason: event.ReasonUnknownKey, Execution: event.NotRun}, ""))
		return
	}
	all := approvedModels(c, account)
	name, err := url.PathUnescape(mux.Vars(r)["model"])
	if err != nil || name == "" {
		writeJSON(w, modelList{Object: "list", Data: all})
		return
	}
	i := slices.IndexFunc(all, func(m modelBody) bool { return m.ID == name })
	if i < 0 {
		writeProblem(w, fromRefusal(event.Refusal{Reason: event.ReasonNoTarget, Execution: event.NotRun}, ""))
		return
	}
	writeJSON(w, all[i])
}

func approvedModels(c *config.Config, account id.Account) []modelBody {
	list := []modelBody{}
	for name, a := range c.Artifacts {
		if c.Approved(account, name) {
			list = append(list, modelBody{ID: string(name), Object: "model", OwnedBy: c.Groups[a.Group].Owner})
		}
	}
	slices.SortFunc(list, func(a, b modelBody) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", contentJSON)
	_ = json.NewEncoder(w).Encode(v)
}
