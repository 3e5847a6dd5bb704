package platform

import (
	"context"
	"net/http"
	"sync"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

// Instance is one entry of the platform's instance list. The list lags behind
// reality.
type Instance struct {
	// Name identifies the instance.
	Name string
	// Address is the host and port of its backend server.
	Address string
	// Zone is its availability zone.
	Zone string
	// FabricDomain names the fast interconnect that it shares with others.
	FabricDomain string
	// Service names the plain service that it runs; empty for model engines.
	Service string
	// ChecksFencing says whether its backend server refuses old fencing tokens.
	ChecksFencing bool
	// Leaving says that the platform is about to take the instance away.
	Leaving bool
}

type instanceWire struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// instanceCache keeps the last list with its entity tag, so that an unchanged
// list is not sent again.
type instanceCache struct {
	mu   sync.Mutex
	tag  string
	list []Instance
}

// last returns the kept list and its entity tag.
func (c *instanceCache) last() ([]Instance, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list, c.tag
}

func (c *instanceCache) keep(list []Instance, tag string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list, c.tag = list, tag
}

// Instances returns the platform's list of live and leaving instances, which
// must not be changed. It fails with ErrUnavailable when the platform does not
// answer.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	known, tag := c.instances.last()
	get := sling.New().Get(c.instancesURL)
	if tag != "" {
		get.Set("If-None-Match", tag)
	}
	request, err := get.Request()
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	var wires []instanceWire
	reply, err := sling.New().Client(c.httpClient).Do(request.WithContext(ctx), &wires, nil)
	if err != nil {
		c.retireConnections(ctx)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch reply.StatusCode {
	case http.StatusNotModified:
		return known, nil
	case http.StatusOK:
		list := decodeInstances(wires)
		c.instances.keep(list, reply.Header.Get("ETag"))
		return list, nil
	default:
		return nil, errors.Wrap(ErrUnavailable, reply.Status)
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
