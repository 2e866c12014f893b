package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of poisonKill.
const (
	// between is the time between two tries of the request.
	between = 3200 * time.Millisecond
	// downTime is the time until the platform starts killed processes again.
	downTime = 500 * time.Millisecond
	// deadlyTries is the number of tries of the request after its third crash.
	deadlyTries = 5
	// permitted is the number of tries that may still reach servers.
	permitted = 3
)

// poisonKill sends a request that crashes each server that runs it again and again, and kills all
// processes of the system after the third crash. Rule BUDGET.
func poisonKill(d *deployment, trouble bool) ([]string, error) {
	for _, zone := range []string{"dc-a", "dc-b"} {
		if _, err := d.addGateway(zone); err != nil {
			return nil, err
		}
	}
	const deadly = "deadly body"
	var servers []*server
	for i := range 6 {
		s, err := d.newServer(fmt.Sprintf("i-%d", i), []string{"dc-a", "dc-b"}[i%2])
		if err != nil {
			return nil, err
		}
		s.deadly, s.work = deadly, longWork
		servers = append(servers, s)
	}
	d.setConfig("plain")
	if err := d.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var lost lostRequests
	for _, g := range d.gateways {
		callers.Go(func() { g.callUntil(stop, &lost) })
	}
	defer callers.Wait()
	defer close(stop)
	time.Sleep(contactTime)
	tries := 0
	try := func() {
		g := d.gateways[tries%len(d.gateways)]
		tries++
		a := g.call(fmt.Sprintf("try-%d", tries), "POST", "/plain/order", deadly)
		d.note("%s answers try %d: %v", g.name, tries, a)
	}
	for range 3 {
		try()
		time.Sleep(between)
	}
	crashes := deadlyArrivals(servers)
	if len(crashes) != 3 {
		return nil, fmt.Errorf("%d tries reached servers before the kill, not 3", len(crashes))
	}
	if crashes[0].server == crashes[1].server || crashes[0].server == crashes[2].server || crashes[1].server == crashes[2].server {
		return nil, fmt.Errorf("the first three tries crashed fewer than three servers")
	}
	inTouch := crashes[2].at.Add(contactTime)
	if trouble {
		d.note("all processes of the system are killed")
		for _, g := range d.gateways {
			g.kill()
		}
		time.Sleep(downTime)
		for _, g := range d.gateways {
			if err := g.restart(); err != nil {
				return nil, err
			}
		}
		for _, g := range d.gateways {
			if err := g.waitReady(); err != nil {
				return nil, err
			}
			if at := g.startedAt.Add(contactTime); at.After(inTouch) {
				inTouch = at
			}
		}
		time.Sleep(time.Until(inTouch.Add(100 * time.Millisecond)))
	}
	for range deadlyTries {
		try()
		time.Sleep(between)
	}
	late := 0
	for _, a := range deadlyArrivals(servers) {
		if a.at.After(inTouch) {
			late++
			d.note("try %s reached server %s %.3f s after the third crash, from a machine in touch", a.id, a.server, a.at.Sub(crashes[2].at).Seconds())
		}
	}
	if late > permitted {
		return []string{fmt.Sprintf("%d tries of the request reached servers later than contactMs after it had crashed the third", late)}, nil
	}
	return nil, nil
}

// deadlyArrivals returns the runs of the request, in order.
func deadlyArrivals(servers []*server) []arrival {
	var all []arrival
	for _, s := range servers {
		for _, a := range s.received() {
			if a.uri == "/plain/order" {
				all = append(all, a)
			}
		}
	}
	sortByTime(all)
	return all
}
