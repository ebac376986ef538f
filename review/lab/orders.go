package main

import (
	"fmt"
	"net/http"
	"time"
)

// startOrders starts a deployment of three instances with one route of orders to a plain
// service, whose replicas may have a fault, and waits until it serves.
func (d *Deployment) startOrders(replicas int, fault func(n int, w http.ResponseWriter, r *http.Request) bool) error {
	for i := range replicas {
		p := &Replica{ID: fmt.Sprintf("i-app-%d", i+1), Service: "app", Capacity: 6, Work: 20 * time.Millisecond}
		if fault != nil {
			p.Fault = func(w http.ResponseWriter, r *http.Request) bool { return fault(i, w, r) }
		}
		if err := d.AddReplica(p); err != nil {
			return err
		}
	}
	d.Routes = append(d.Routes, map[string]any{
		"name": "orders", "host": host, "pathPrefix": "/orders/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1,
		"service": "app", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	})
	d.Configure(1, []map[string]any{{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}})
	if err := d.AddEdges(3); err != nil {
		return err
	}
	if err := d.WaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	d.Note("all instances are ready")
	return nil
}
