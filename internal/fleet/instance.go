package fleet

import (
	"fmt"
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/internal/standin"
)

// Instance is an instance of the fleet with its backend server.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Domain  string
	// Engine is nil for an instance of a plain service.
	Engine  *standin.Engine
	Service *standin.Service

	checksFencing bool
	server        *http.Server
}

func (f *Fleet) startInstances() error {
	number := 0
	for _, zone := range f.Plan.Zones {
		for d := range f.Plan.DomainsPerZone {
			for i := range f.Plan.InstancesPerDomain {
				name := fmt.Sprintf("engine-%s-%d-%d", zone, d, i)
				domain := fmt.Sprintf("domain-%s-%d", zone, d)
				if err := f.startEngine(name, zone, domain, f.Plan.ChecksFencing(number)); err != nil {
					return err
				}
				number++
			}
		}
		if err := f.startService("docking-"+zone, zone); err != nil {
			return err
		}
	}
	f.PublishInstances()
	return nil
}

func (f *Fleet) startEngine(name, zone, domain string, checksFencing bool) error {
	i := &Instance{Name: name, Zone: zone, Domain: domain, checksFencing: checksFencing}
	i.Engine = standin.NewEngine(f.Plan.Speed, checksFencing)
	i.Engine.MemberMissing = func(address, group string, generation uint64) bool {
		other := f.InstanceByAddress(address)
		return other == nil || other.Engine.Missing(group, generation)
	}
	address, err := f.serve(zone, i.Engine, &i.server)
	i.Address = address
	f.addInstance(i)
	return err
}

func (f *Fleet) startService(name, zone string) error {
	i := &Instance{Name: name, Zone: zone, Service: standin.NewService(f.Records)}
	address, err := f.serve(zone, i.Service, &i.server)
	i.Address = address
	f.addInstance(i)
	return err
}

func (f *Fleet) addInstance(i *Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, i)
	f.listed[i.Name] = true
}

// InstanceByAddress returns the instance with the address, nil if there is none.
func (f *Fleet) InstanceByAddress(address string) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.Address == address {
			return i
		}
	}
	return nil
}

// Instances returns all instances.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Instance(nil), f.instances...)
}

// Engines returns the instances that run an engine.
func (f *Fleet) Engines() []*Instance {
	var engines []*Instance
	for _, i := range f.Instances() {
		if i.Engine != nil {
			engines = append(engines, i)
		}
	}
	return engines
}

// MarkLeaving marks an instance as leaving in the platform's instance list.
func (f *Fleet) MarkLeaving(name string) {
	f.mu.Lock()
	f.leaving[name] = true
	f.mu.Unlock()
	f.PublishInstances()
}

// Unlist removes an instance from the platform's instance list.
func (f *Fleet) Unlist(name string) {
	f.mu.Lock()
	delete(f.listed, name)
	f.mu.Unlock()
	f.PublishInstances()
}

// PublishInstances writes the platform's instance list.
func (f *Fleet) PublishInstances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []standin.InstanceLabels
	for _, i := range f.instances {
		if !f.listed[i.Name] {
			continue
		}
		labels := map[string]string{"instance": i.Name, "zone": i.Zone, "fabric_domain": i.Domain}
		if i.Service != nil {
			labels["service"] = ServiceName
		}
		if i.checksFencing {
			labels["checks_fencing"] = "true"
		}
		if f.leaving[i.Name] {
			labels["leaving"] = "true"
		}
		list = append(list, standin.InstanceLabels{Targets: []string{i.Address}, Labels: labels})
	}
	f.Platform.SetInstances(list)
}

// Counts returns the sum of the engines' counters.
func (f *Fleet) Counts() standin.EngineCounts {
	var sum standin.EngineCounts
	for _, i := range f.Engines() {
		c := i.Engine.Counts()
		sum.Requests += c.Requests
		sum.ColdLimitExceeded += c.ColdLimitExceeded
		sum.SentToIncompleteGroup += c.SentToIncompleteGroup
		sum.SentToZoneOut += c.SentToZoneOut
		sum.SentToLeaving += c.SentToLeaving
		sum.StaleOrders += c.StaleOrders
		sum.TokensPrefilled += c.TokensPrefilled
	}
	return sum
}
