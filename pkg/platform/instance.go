package platform

import (
	"context"
	"net/http"
	"sync"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// Instance is one item of the platform's instance list. The list may be
// outdated.
type Instance struct {
	// Name identifies the instance.
	Name string
	// Address is the host and port of its backend server.
	Address string
	// Zone is its availability zone.
	Zone string
	// FabricDomain names the group of instances that share a fast interconnect
	// with it.
	FabricDomain string
	// Service is the name of the plain service that it runs; empty if it runs a
	// model engine.
	Service string
	// ChecksFencing is set if its backend server rejects stale fencing tokens.
	ChecksFencing bool
	// Leaving is set if the platform is about to remove the instance.
	Leaving bool
}

type instanceWire struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// instanceCache holds the last list with its entity tag, so an unchanged list is
// not transferred again.
type instanceCache struct {
	mu   sync.Mutex
	tag  string
	list []Instance
}

// load returns the cached list and its entity tag.
func (c *instanceCache) load() ([]Instance, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list, c.tag
}

func (c *instanceCache) store(list []Instance, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list, c.tag = list, tag
}

// Instances returns the platform's list. It includes instances that are about to
// be removed and omits those without an address. Callers must not modify the list.
// If the call to the platform fails, Instances returns ErrUnavailable and does not
// fall back to the cached list.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	cached, tag := c.instances.load()
	get := sling.New().Get(c.instancesURL)
	if tag != "" {
		get.Set("If-None-Match", tag)
	}
	request, err := get.Request()
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	var wires []instanceWire
	response, err := sling.New().Client(c.httpClient).Do(request.WithContext(ctx), &wires, nil)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch response.StatusCode {
	case http.StatusNotModified:
		return cached, nil
	case http.StatusOK:
		list := decodeInstances(wires)
		c.instances.store(list, response.Header.Get("ETag"))
		return list, nil
	default:
		return nil, errors.Wrap(ErrUnavailable, response.Status)
	}
}

func decodeInstances(wires []instanceWire) []Instance {
	instances := make([]Instance, 0, len(wires))
	for _, w := range wires {
		if len(w.Targets) == 0 {
			continue
		}
		instances = append(instances, Instance{
			Name:          w.Labels["instance"],
			Address:       w.Targets[0],
			Zone:          w.Labels["zone"],
			FabricDomain:  w.Labels["fabric_domain"],
			Service:       w.Labels["service"],
			ChecksFencing: w.Labels["checks_fencing"] == "true",
			Leaving:       w.Labels["leaving"] == "true",
		})
	}
	return instances
}
