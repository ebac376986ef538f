package main

// route returns a route of the operator's configuration.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2500, "targetLatencyMs": 600, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sticky": kind == "streaming", "resumable": false,
	}
	if kind == "streaming" {
		r["targetGapMs"] = 300
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// plainService returns a service without a model.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
}

// modelService returns a service of model replicas.
func modelService(name, model string) map[string]any {
	s := plainService(name)
	s["engineKind"] = map[string]any{
		"capacity": 64, "kvCapacity": 92125, "kvTokenBytes": 131072, "linkMbps": 550000.0, "migrations": true, "backupCopies": true,
		"managed": true, "stride": 11, "maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
		"models": []any{map[string]any{"name": model}},
	}
	return s
}

// contextService returns a store of kept context.
func contextService(name, zone, address string, capacity int, firstMS float64) map[string]any {
	return map[string]any{
		"name": name, "kvStoreAddr": address, "zone": zone, "kvCapacity": capacity, "linkMbps": 1500000.0, "maxInflight": 12,
		"managed": true, "first_ms": firstMS,
	}
}

// configure writes a configuration. When it returns, the store has acknowledged it.
func (l *lab) configure(version int, routes, services []any, keys ...string) {
	if keys == nil {
		keys = []string{}
	}
	l.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": keys, "priority": 1}},
	})
	l.note("config %d is acknowledged, keys %v", version, keys)
}
