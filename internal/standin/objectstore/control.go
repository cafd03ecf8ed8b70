package objectstore

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

func (s *Store) handleControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := errors.Join(readStrict(r, &f), f.Validate()); err != nil {
			writeJSON(w, http.StatusBadRequest, errorBody{err.Error()})
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+PathRestore, func(w http.ResponseWriter, r *http.Request) {
		var d RestoreDrill
		if err := errors.Join(readStrict(r, &d), d.Validate()); err != nil {
			writeJSON(w, http.StatusBadRequest, errorBody{err.Error()})
			return
		}
		if err := s.RunDrill(d); err != nil {
			writeJSON(w, http.StatusConflict, errorBody{err.Error()})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counters())
	})
}

func readStrict(r *http.Request, v any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
