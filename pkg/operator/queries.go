package operator

import (
	"context"
	"net/http"
)

func (s *server) registerQueries(mux *http.ServeMux) {
	query(mux, "running", s.backend.Running)
	query(mux, "draining", s.backend.Draining)
	query(mux, "instances", s.backend.Instances)
	query(mux, "config", s.backend.Config)
	query(mux, "burn", s.backend.Burn)
	budgetQuery(mux, "spent", s.backend.Spent)
	budgetQuery(mux, "stranded", s.backend.Stranded)
	budgetQuery(mux, "budgets", s.backend.Budgets)
}

func query[T any](mux *http.ServeMux, name string, run func(context.Context) (T, error)) {
	mux.HandleFunc("GET "+QueriesPath+name, func(w http.ResponseWriter, r *http.Request) {
		result, err := run(r.Context())
		answer(w, result, err)
	})
}

// budgetQuery takes the parameters workspace, budget and after.
func budgetQuery[T any](mux *http.ServeMux, name string, run func(context.Context, BudgetSelection) (T, error)) {
	mux.HandleFunc("GET "+QueriesPath+name, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		result, err := run(r.Context(), BudgetSelection{q.Get("workspace"), q.Get("budget"), q.Get("after")})
		answer(w, result, err)
	})
}
