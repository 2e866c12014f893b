package main

import (
	"fmt"
	"time"
)

// Times of staleOrder.
const (
	// cutTime is for how long the holder is cut off; the small sites have 5.5 to 12 s.
	cutTime = 5500 * time.Millisecond
	// cutAfter is the time from an order to the cut.
	cutAfter = 300 * time.Millisecond
	// holdLimit is how long the case waits for the holder's first orders.
	holdLimit = 25 * time.Second
	// afterHeal is how long the platform is watched after the link is healed.
	afterHeal = 8 * time.Second
)

// staleOrder cuts the holder of the duties off, from the platform and from its peer, while it repeats an order each
// second, as the platform has none of the cheap servers at the moment. The other instance takes the
// duties over. Rule ONE.
func staleOrder(d *deployment, trouble bool) ([]string, error) {
	for _, zone := range []string{"dc-a", "dc-b"} {
		if _, err := d.addGateway(zone); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if _, err := d.newServer(fmt.Sprintf("i-%d", i), []string{"dc-a", "dc-b"}[i%2]); err != nil {
			return nil, err
		}
	}
	d.setConfig("scaled")
	links, err := d.linkPeers(1)
	if err != nil {
		return nil, err
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	holder, err := d.waitHolder(3)
	if err != nil {
		return nil, err
	}
	time.Sleep(cutAfter)
	if trouble {
		d.note("%s is cut off", holder.name)
		links.setCut(true)
		holder.storeLink.setCut(true)
		holder.cloudLink.setCut(true)
	}
	time.Sleep(cutTime)
	if trouble {
		links.setCut(false)
		holder.storeLink.setCut(false)
		holder.cloudLink.setCut(false)
		d.note("the cut of %s ends", holder.name)
	}
	time.Sleep(afterHeal)
	return staleCalls(d.cloud.received(), func(name string) time.Time {
		if name != holder.name || !trouble {
			return time.Time{}
		}
		return holder.cloudLink.healTime()
	}), nil
}

// waitHolder waits until one instance has ordered servers a number of times, and returns it.
func (d *deployment) waitHolder(orders int) (*gateway, error) {
	for until := time.Now().Add(holdLimit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		count := 0
		last := ""
		for _, c := range d.cloud.received() {
			if c.duty == "/scale" {
				count, last = count+1, c.holder
			}
		}
		if count < orders {
			continue
		}
		for _, g := range d.gateways {
			if g.name == last {
				return g, nil
			}
		}
	}
	return nil, fmt.Errorf("no instance has ordered servers %d times in %v", orders, holdLimit)
}
