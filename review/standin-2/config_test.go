package standin2

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"path_prefix"`
	Type      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Objective int    `json:"target_latency_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Anonymous bool   `json:"anonymous"`
	Affinity  bool   `json:"session_affinity"`
	Resume    bool   `json:"stream_resume"`
	Pause     int    `json:"target_itl_ms,omitempty"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Unit     string   `json:"unit"`
	Uncached int      `json:"uncached_tokens"`
	Rate     int      `json:"rate_per_s"`
	Burst    int      `json:"burst"`
}

// config returns a version of the configuration with the given tenants and with routes like
// those of three kinds of request of the sheet.
func config(version int, tenants ...tenant) []byte {
	routes := []route{
		{Name: "month-prompts", Host: host, Prefix: "/month/", Type: "streaming", Timeout: 6000, Objective: 800, Priority: 1, Service: "pisarz", Attempts: 1, Affinity: true, Pause: 400},
		{Name: "note-tidy", Host: host, Prefix: "/note/", Type: "streaming", Timeout: 15_000, Objective: 600, Priority: 2, Service: "pisarz", Attempts: 2, Affinity: true, Resume: true, Pause: 400},
		{Name: "order-status", Host: host, Prefix: "/status/", Type: "idempotent", Timeout: 1000, Objective: 150, Priority: 2, Service: "sklep", Attempts: 2},
	}
	services := []map[string]any{
		{"name": "pisarz", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 4, "kv_capacity": 481_003}},
		{"name": "sklep", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
	}
	return encode(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15_000},
	})
}

// host is the host of all routes.
const host = "print.example"

// readers returns a tenant that holds the given keys.
func readers(keys ...string) tenant {
	return tenant{Name: "readers", Keys: keys, Priority: 1, Unit: "tokens", Uncached: 200}
}
