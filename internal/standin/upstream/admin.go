package upstream

import (
	"encoding/json"
	"net/http"

	"github.com/guavawharf/guavawharf/internal/state"
)

// Paths of the fleet's HTTP control interface.
const (
	PathCounts  = "/v1/counts"
	PathTargets = "/v1/targets"
)

// Handler returns the control interface: GET on PathCounts returns the counts, and
// POST on PathTargets/{id} replaces the Faults of that target.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathCounts, f.getCounts)
	mux.HandleFunc("POST "+PathTargets+"/{id}", f.postFaults)
	return mux
}

func (f *Fleet) getCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.Counts())
}

func (f *Fleet) postFaults(w http.ResponseWriter, r *http.Request) {
	target, err := f.Target(state.TargetID(r.PathValue("id")))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	target.SetFaults(faults)
}
