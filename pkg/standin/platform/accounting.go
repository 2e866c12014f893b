package platform

import (
	"time"
)

// CostReport contains the cost of the instances and counts of starts.
type CostReport struct {
	// Cost is in currency units, for simulated time.
	Cost float64 `json:"cost"`
	// InstanceHours sums the simulated hours from the start to the end of each instance.
	InstanceHours float64 `json:"instance_hours"`
	// Running is the current number of instances.
	Running int `json:"running"`
	// Starts and Refusals count the successful and the refused start calls.
	Starts   int `json:"starts"`
	Refusals int `json:"refusals"`
	// Services lists cost and hours by service.
	Services []ServiceCost `json:"services"`
}

// ServiceCost is the part of a CostReport that belongs to one service.
type ServiceCost struct {
	Service       string  `json:"service"`
	Cost          float64 `json:"cost"`
	InstanceHours float64 `json:"instance_hours"`
	// ReclaimableHours is the part of InstanceHours on reclaimable instances.
	ReclaimableHours float64 `json:"reclaimable_hours"`
	Running          int     `json:"running"`
}

// CostReport returns the costs so far.
func (c *Cloud) CostReport() CostReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CostReport{Running: len(c.instances), Starts: c.starts, Refusals: c.refusals}
	byService := make(map[string]int)
	add := func(in *instance) {
		i, ok := byService[in.info.Service]
		if !ok {
			i = len(out.Services)
			byService[in.info.Service] = i
			out.Services = append(out.Services, ServiceCost{Service: in.info.Service})
		}
		out.Services[i].add(in, c.instanceHours(in))
	}
	for _, in := range c.ended {
		add(in)
	}
	for _, in := range c.instances {
		add(in)
	}
	for _, s := range out.Services {
		out.Cost += s.Cost
		out.InstanceHours += s.InstanceHours
	}
	return out
}

// instanceHours returns the simulated hours that an instance has run.
func (c *Cloud) instanceHours(in *instance) float64 {
	end := in.ended
	if end.IsZero() {
		end = time.Now()
	}
	return end.Sub(in.started).Hours() * c.cfg.Speed
}

func (s *ServiceCost) add(in *instance, hours float64) {
	s.Cost += hours * in.price
	s.InstanceHours += hours
	if in.info.Reclaimable {
		s.ReclaimableHours += hours
	}
	if in.ended.IsZero() {
		s.Running++
	}
}
