package machines

import (
	"fmt"
	"strings"
)

// Where the operator and the runners write.
const (
	ConfigKey     = "op/config"
	ServersPrefix = "servers/"
)

// What PutConfig declares.
const (
	Host      = "h.example"
	Workspace = "w"
	APIKey    = "key1"
	Prepaid   = 100_000
	Service   = "llm"
)

// routeKinds are the kinds of the routes that PutConfig knows by name.
var routeKinds = map[string]string{"chat": "streaming", "book": "non_idempotent"}

// PutConfig writes a configuration with routes below /NAME/: chat is a stream,
// book may run once, and all others are idempotent.
func (s *Store) PutConfig(version int, routes ...string) {
	s.PutPrepaidConfig(version, Prepaid, routes...)
}

// PutPrepaidConfig is PutConfig with the tokens that the workspace has paid.
func (s *Store) PutPrepaidConfig(version int, prepaid int64, routes ...string) {
	texts := make([]string, 0, len(routes))
	for _, name := range routes {
		kind := routeKinds[name]
		if kind == "" {
			kind = "idempotent"
		}
		texts = append(texts, fmt.Sprintf(`{"name":%q,"hostname":%q,"prefix":"/%s/","route_kind":%q,"timeout_ms":5000,"target_latency_ms":1000,"service":%q,"max_attempts":2}`,
			name, Host, name, kind, Service))
	}
	s.Put(ConfigKey, fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"inference_engine":{"slots":64,"stride":4}}],"tenants":[{"name":%q,"api_keys":[%q],"prepaid":%d}]}`,
		version, strings.Join(texts, ","), Service, Workspace, APIKey, prepaid))
}

// PutRunner writes the entry of a runner in a zone.
func (s *Store) PutRunner(r *Runner, zone string) {
	s.Put(ServersPrefix+r.ID, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":64,"state":"ready","sequence":1}`, Service, r.Address(), zone))
}
