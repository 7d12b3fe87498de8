package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// parseApp parses an app request. Its amount is the price of the route.
func (s *Server) parseApp(doc *config.Document, j *job, r *http.Request) error {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), appPrefix)
	if err := checkPath(escaped); err != nil {
		return err
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, appPrefix), "/")
	svc, ok := doc.Service(name)
	if !ok || svc.Kind != config.AppService || !strings.HasPrefix(escaped, name+"/") {
		return failure.New(failure.NotFound, "name an app service of the configuration and a path", "app %q does not exist", name)
	}
	appPath := strings.TrimPrefix(r.URL.Path, appPrefix+name)
	route, ok := findRoute(svc, r.Method, appPath)
	if !ok {
		return failure.New(failure.NotFound, "use a method and path that the configuration names",
			"app %q has no route for %s %s", name, r.Method, appPath)
	}
	if r.Header.Get("Upgrade") != "" {
		return failure.New(failure.Invalid, "send a plain HTTP request", "protocol upgrades are not supported")
	}
	body, err := readBody(j.responder, r, s.opts.MaxBodyBytes)
	if err != nil {
		return err
	}
	j.service, j.repeatable, j.amount = svc, route.Repeatable, ledger.Tokens(route.Price)
	j.method, j.header, j.body = r.Method, r.Header, body
	j.path = strings.TrimPrefix(escaped, name)
	if r.URL.RawQuery != "" {
		j.path += "?" + r.URL.RawQuery
	}
	j.fingerprint = computeFingerprint(j.workspace.Name, svc.Name, r.Method, j.path, body)
	return nil
}

// checkPath rejects paths that an app could interpret differently from findRoute.
// Such a call would get the price and the repeatable flag of another route.
func checkPath(escaped string) error {
	lower := strings.ToLower(escaped)
	ambiguous := slices.ContainsFunc([]string{"//", "\\", "%2f", "%5c", "%2e", "%00"}, func(sequence string) bool {
		return strings.Contains(lower, sequence)
	})
	for segment := range strings.SplitSeq(escaped, "/") {
		ambiguous = ambiguous || segment == "." || segment == ".."
	}
	if ambiguous {
		return failure.New(failure.Invalid, "send the path in canonical form", "the path has empty, dot or encoded segments")
	}
	return nil
}

// findRoute returns the route with the given method and the longest matching
// prefix. A prefix matches whole segments of the path.
func findRoute(svc config.Service, method, path string) (config.Route, bool) {
	var best config.Route
	found := false
	for _, route := range svc.Routes {
		if route.Method == method && hasPathPrefix(path, route.PathPrefix) && (!found || len(route.PathPrefix) > len(best.PathPrefix)) {
			best, found = route, true
		}
	}
	return best, found
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
