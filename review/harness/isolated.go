package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of isolated.
const (
	// isolation is for how long two of six instances are cut off from all others; the small sites
	// have up to 12 s for a share of 0.35.
	isolation = 12 * time.Second
	// isolatedBetween is the time between two tries of the request.
	isolatedBetween = 1200 * time.Millisecond
	// isolatedTries is the number of tries.
	isolatedTries = 20
	// instances is the number of instances, and alone that of those that are cut off.
	instances, alone = 6, 2
)

// isolated cuts two instances off from all others, but not from the store, and sends a request that
// crashes each server that runs it to the two and a third in turn. Rule BUDGET.
func isolated(d *deployment, trouble bool) ([]string, error) {
	for i := range instances {
		if _, err := d.addGateway([]string{"dc-a", "dc-b"}[i%2]); err != nil {
			return nil, err
		}
	}
	links, err := d.linkPeers(alone)
	if err != nil {
		return nil, err
	}
	const deadly = "deadly body"
	var servers []*server
	for i := range 12 {
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
	time.Sleep(steady + contactTime)
	if trouble {
		d.note("%s and %s are cut off from all other instances", d.gateways[0].name, d.gateways[1].name)
		links.setCut(true)
		time.AfterFunc(isolation, func() {
			links.setCut(false)
			d.note("the instances reach each other again")
		})
		time.Sleep(time.Second)
	}
	for n := range isolatedTries {
		g := d.gateways[n%(alone+1)]
		a := g.call(fmt.Sprintf("try-%d", n+1), "POST", "/plain/order", deadly)
		d.note("%s answers try %d: %v", g.name, n+1, a)
		time.Sleep(isolatedBetween)
	}
	runs := deadlyArrivals(servers)
	if len(runs) < 3 {
		return nil, fmt.Errorf("only %d tries reached servers", len(runs))
	}
	late := 0
	for _, a := range runs {
		if after := a.at.Sub(runs[2].at); after > contactTime {
			late++
			d.note("try %s reached server %s %.3f s after the third crash", a.id, a.server, after.Seconds())
		}
	}
	if late > permitted {
		return []string{fmt.Sprintf("%d tries of the request reached servers later than contactMs after it had crashed the third", late)}, nil
	}
	return nil, nil
}
