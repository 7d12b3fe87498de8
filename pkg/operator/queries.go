package operator

import (
	"context"
	"net/http"
)

func (s *server) registerQueries(mux *http.ServeMux) {
	registerQuery(mux, "running", s.backend.Running)
	registerQuery(mux, "draining", s.backend.Draining)
	registerQuery(mux, "instances", s.backend.Instances)
	registerQuery(mux, "config", s.backend.Config)
	registerQuery(mux, "burn", s.backend.Burn)
	registerBudgetQuery(mux, "spent", s.backend.Spent)
	registerBudgetQuery(mux, "stranded", s.backend.Stranded)
	registerBudgetQuery(mux, "budgets", s.backend.Budgets)
}

// registerQuery serves a query without parameters.
func registerQuery[T any](mux *http.ServeMux, name string, run func(context.Context) (T, error)) {
	mux.HandleFunc("GET "+QueriesPath+name, func(w http.ResponseWriter, r *http.Request) {
		result, err := run(r.Context())
		writeResult(w, result, err)
	})
}

// registerBudgetQuery serves a query with the parameters workspace, budget and
// after.
func registerBudgetQuery[T any](mux *http.ServeMux, name string, run func(context.Context, BudgetSelection) (T, error)) {
	mux.HandleFunc("GET "+QueriesPath+name, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		result, err := run(r.Context(), BudgetSelection{q.Get("workspace"), q.Get("budget"), q.Get("after")})
		writeResult(w, result, err)
	})
}
