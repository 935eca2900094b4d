package main

// routeText is one route of the configuration.
type routeText struct {
	Name        string
	Host        string
	PathPrefix  string
	Kind        string
	TimeoutMs   int
	SloMs       int
	Priority    int
	Service     string
	MaxAttempts int
	Sticky      bool
	Resumable   bool
	GapTargetMs int
	HomeRegions []string
}

// publish writes the configuration: the given routes to one service, which is a model service
// if engine is set.
func (b *bed) publish(engine bool, routes ...routeText) {
	for i := range routes {
		routes[i].Host = host
		routes[i].Service = service
		routes[i].HomeRegions = []string{}
	}
	s := map[string]any{
		"Name": service, "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false,
		"ColdS": 0.0, "ColdPerS": 0.0,
	}
	if engine {
		s["ColdS"] = 3.0
		s["ColdPerS"] = 1.8
		s["Engine"] = map[string]any{
			"Slots": 64, "KvCapacity": 337160, "KvTokenBytes": 18432, "LinkMbps": 740000.0,
			"Moves": true, "Backups": true, "Stride": 9, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
			"handle_s": 5.0, "Models": []any{map[string]any{"Name": "m"}},
		}
	}
	b.store.put("op/config", map[string]any{
		"Version":  7,
		"Routes":   routes,
		"Services": []any{s},
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	})
}
