package impersonator

// HostName is the name that the routes of the configuration belong to.
const HostName = "clearing.example"

// Route returns a route of the configuration.
func Route(prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + kind + prefix, "host": HostName, "prefix": prefix, "route_type": kind, "timeout_ms": 2000,
		"target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": attempts, "keyless": false,
		"sticky": false, "can_resume": false,
	}
}

// Config returns a configuration of plain services.
func Config(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
