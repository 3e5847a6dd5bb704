package main

// route returns a route of the operators' configuration.
func route(name, prefix, kind, service string, timeoutMillis int) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "prefix": prefix, "kind": kind, "service": service,
		"timeoutMs": timeoutMillis, fieldObjective: 400, "priority": 1, "maxAttempts": 2, "public": false,
	}
	if kind == "streaming" {
		r[fieldResumable], r[fieldGap], r["sessionAffinity"] = true, 300, true
	}
	if kind == "unsafe" {
		r["maxAttempts"] = 1
	}
	return r
}

// plainServiceConfig describes a plain service; coldPerSecond is 0 if its replicas are
// never cold.
func plainServiceConfig(coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": servicePlain, "healthCheckPath": "/health", "connectionLimit": 308, "protocol": "h1", "tls": false,
		"coldStartS": 3.0, "coldPerS": coldPerSecond,
	}
}

// modelServiceConfig describes a service of one model whose groups have size replicas.
// The figures are those of a small deployment.
func modelServiceConfig(size int) map[string]any {
	return map[string]any{
		"name": serviceModel, "healthCheckPath": "/health", "connectionLimit": 308, "protocol": "h1", "tls": false,
		"coldStartS": 3.0, "coldPerS": 28.0,
		"engine": map[string]any{
			"slots": 17, "kvCacheTokens": 1860000, "stride": 5,
			"models":  []any{map[string]any{"name": modelName, "size": size, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmS": 1.1}},
			"step_ms": 7.8, "per_seq_ms": 0.0947, "read_per_s": 45900.0, "loadsPerS": 5.0, fieldLoadsOnce: 7,
			"usual": map[string]any{"prompt": 979, "answer": 154}, "keeps": 1, "far_x": 4.0, "formMs": 300.0,
		},
	}
}

// operatorConfig returns the operators' configuration, with one tenant.
func operatorConfig(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": callerTenant, "apiKeys": []string{callerKey}, "priority": 1}},
	}
}
