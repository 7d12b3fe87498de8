package main

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"hostname"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"route_kind"`
	Timeout   int    `json:"timeout_ms"`
	Objective int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Affinity  bool   `json:"session_affinity"`
	Resumable bool   `json:"stream_resumption"`
	GapAim    int    `json:"gap_aim_ms,omitempty"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api_keys"`
	Prepaid int64    `json:"prepaid"`
}

// The routes of the cases follow the sheet of the site muela-rondas.
const (
	host       = "rondas.example"
	modelHost  = "motor-notas"
	appService = "rondas-app"
)

func chartRoute() route {
	return route{Name: "carta-completa", Host: host, Prefix: "/carta/", Kind: "streaming", Timeout: 10000, Objective: 1000, Priority: 1, Service: modelHost, Attempts: 2, Affinity: true, Resumable: true, GapAim: 500}
}

func historyRoute() route {
	return route{Name: "ver-historial", Host: host, Prefix: "/historial/", Kind: "idempotent", Timeout: 800, Objective: 150, Priority: 2, Service: appService, Attempts: 2}
}

func bookingRoute() route {
	return route{Name: "cobro-unico", Host: host, Prefix: "/cobro/", Kind: "non_idempotent", Timeout: 800, Objective: 150, Priority: 2, Service: appService, Attempts: 1}
}

// putConfig writes a configuration as the operator does.
func putConfig(s *store, version int, routes []route, tenants []tenant) {
	s.put("op/config", map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": modelHost, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls_enabled": false,
				"inference_engine": map[string]any{"slots": 64, "kv_cache_tokens": 352457, "stride": tokensPerEvent, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": appService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls_enabled": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
