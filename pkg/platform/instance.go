package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
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

// maxInstanceListBytes limits the size of the instance list.
const maxInstanceListBytes = 64 << 20

// Instances returns the platform's list. It includes instances that are about to
// be removed and omits those without an address, and items that can't be right,
// which are reported as WithOnInvalidInstance says. Callers must not modify the list.
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
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusNotModified:
		return cached, nil
	case http.StatusOK:
	default:
		return nil, errors.Wrap(ErrUnavailable, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxInstanceListBytes))
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	items, err := splitArray(body)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	list := c.decodeInstances(items)
	c.instances.store(list, response.Header.Get("ETag"))
	return list, nil
}

// decodeInstances decodes each item by itself, so that one that another writer left
// doesn't hide the others.
func (c *Client) decodeInstances(items [][]byte) []Instance {
	instances := make([]Instance, 0, len(items))
	for _, item := range items {
		var w instanceWire
		if err := json.Unmarshal(item, &w); err != nil {
			c.onInvalidInstance(errors.Errorf("item %.60q of the instance list: %.100s", item, err))
			continue
		}
		if len(w.Targets) == 0 {
			continue
		}
		if !validAddress(w.Targets[0]) {
			c.onInvalidInstance(errors.Errorf("%.60q in the instance list is not a host and a port from 1 to 65535", w.Targets[0]))
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

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// splitArray returns the items of a JSON array without decoding them. The decoder of
// encoding/json would refuse the whole array for one item that is nested too deeply.
func splitArray(text []byte) ([][]byte, error) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != '[' || text[len(text)-1] != ']' {
		return nil, errors.New("the instance list is not an array")
	}
	text = text[1 : len(text)-1]
	var items [][]byte
	depth, start := 0, 0
	quoted, escaped := false, false
	for i, b := range text {
		switch {
		case quoted:
			quoted = b != '"' || escaped
			escaped = b == '\\' && !escaped
		case b == '"':
			quoted = true
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			items = append(items, text[start:i])
			start = i + 1
		}
	}
	if quoted || depth != 0 {
		return nil, errors.New("the instance list ends inside an item")
	}
	if last := bytes.TrimSpace(text[start:]); len(last) > 0 || len(items) > 0 {
		items = append(items, last)
	}
	return items, nil
}
