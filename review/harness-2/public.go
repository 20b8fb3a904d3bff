//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// publicRoute lets the operator add a public route below one that needs keys, while clients go on
// to send their keys. It checks that workers are told the tenant that holds the key.
func publicRoute(r *run) ([]string, error) {
	s, err := newSite(r, 2, "status-api", "status-api", "status-api")
	defer s.close()
	if err != nil {
		return nil, err
	}
	tenants := map[string]string{}
	n := 0
	round := func() {
		for i, e := range s.entries {
			key := fmt.Sprintf("key-%d", i+1)
			for _, target := range []string{"/frist/info/7", "/frist/7"} {
				n++
				id := fmt.Sprintf("r-%d", n)
				tenants[id] = fmt.Sprintf("buero-%d", i+1)
				c, err := dialClient(e.address)
				if err != nil {
					r.note("%s: %v", id, err)
					continue
				}
				status, err := c.send(http.MethodGet, target, id, key, 4*time.Second, nil, 1, 0)
				_ = c.connection.Close()
				r.note("%s: GET %s at %s with the key of %s: %d %v", id, target, e.name, tenants[id], status, err)
			}
		}
	}
	for range 5 {
		round()
		time.Sleep(100 * time.Millisecond)
	}
	version := 2
	r.note("a new desired state")
	s.store.PutConfiguration(plainConfiguration(version, r.trouble))
	for range 30 {
		round()
		time.Sleep(100 * time.Millisecond)
	}
	var broken []string
	for id, runs := range s.ran() {
		for _, run := range runs {
			r.note("%s ran: %s, tenant %q, key passed on: %v", id, run.target, run.tenant, run.hasKey)
			if run.tenant != tenants[id] || run.hasKey {
				broken = append(broken, fmt.Sprintf("%s (%s) ran with tenant %q instead of %q", id, run.target, run.tenant, tenants[id]))
			}
		}
	}
	return broken, nil
}
