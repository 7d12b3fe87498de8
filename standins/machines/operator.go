package machines

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Store keys that the operator and the runners write.
const (
	ConfigKey     = "op/config"
	ServersPrefix = "servers/"
)

// Values that PutConfig declares.
const (
	Host      = "h.example"
	Workspace = "w"
	APIKey    = "key1"
	Prepaid   = 100_000
	Service   = "llm"
)

// routeKinds maps route names to their route_kind. Other routes are idempotent.
var routeKinds = map[string]string{"chat": "streaming", ResumableRoute: "streaming", "book": "non_idempotent"}

// ResumableRoute is the name of the route whose streams may be resumed.
const ResumableRoute = "talk"

// PutConfig writes a configuration with one route per name, at the prefix
// /NAME/. The routes chat and ResumableRoute are streaming, book is
// non-idempotent, and all others are idempotent.
func (s *Store) PutConfig(version int, routes ...string) {
	s.PutPrepaidConfig(version, Prepaid, routes...)
}

// PutPrepaidConfig is like PutConfig, but sets the tokens that the workspace has
// prepaid.
func (s *Store) PutPrepaidConfig(version int, prepaid int64, routes ...string) {
	s.putConfig(version, map[string]int64{Workspace: prepaid}, false, routes)
}

// PutResumableConfig is like PutPrepaidConfig, but streams may be resumed. prepaid maps the
// names of the workspaces to the tokens that they have prepaid.
func (s *Store) PutResumableConfig(version int, prepaid map[string]int64, routes ...string) {
	s.putConfig(version, prepaid, true, routes)
}

// KeyOf returns the API key of a workspace.
func KeyOf(workspace string) string {
	if workspace == Workspace {
		return APIKey
	}
	return "key-of-" + workspace
}

func (s *Store) putConfig(version int, prepaid map[string]int64, resumable bool, routes []string) {
	routeTexts := make([]string, 0, len(routes))
	for _, name := range routes {
		kind := routeKinds[name]
		if kind == "" {
			kind = "idempotent"
		}
		routeTexts = append(routeTexts, fmt.Sprintf(`{"name":%q,"hostname":%q,"prefix":"/%s/","route_kind":%q,"timeout_ms":5000,"target_latency_ms":1000,"service":%q,"max_attempts":2,"stream_resumption":%t}`,
			name, Host, name, kind, Service, name == ResumableRoute || resumable && kind == "streaming"))
	}
	workspaceTexts := make([]string, 0, len(prepaid))
	for _, name := range slices.Sorted(maps.Keys(prepaid)) {
		workspaceTexts = append(workspaceTexts, fmt.Sprintf(`{"name":%q,"api_keys":[%q],"prepaid":%d}`, name, KeyOf(name), prepaid[name]))
	}
	s.Put(ConfigKey, fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"inference_engine":{"slots":64,"stride":4}}],"tenants":[%s]}`,
		version, strings.Join(routeTexts, ","), Service, strings.Join(workspaceTexts, ",")))
}

// PutRunner writes the ready entry of a runner in a zone.
func (s *Store) PutRunner(r *Runner, zone string) {
	version := ""
	if r.Version != "" {
		version = fmt.Sprintf(`"version":%q,`, r.Version)
	}
	s.Put(ServersPrefix+r.ID, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,%s"slots":64,"state":"ready","sequence":1}`, Service, r.Address(), zone, version))
}
