package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// optionsOfNoPath: callers ask with OPTIONS for no path but "*", which no route's prefix begins.
func optionsOfNoPath(w *world) (bool, error) {
	addr, err := freeAddr()
	if err != nil {
		return false, err
	}
	e := &endpoint{id: "i-0", addr: addr, service: "s1", slots: 6, world: w}
	if err := e.start("v1"); err != nil {
		return false, err
	}
	e.register()
	w.store.Put("config", "main", plainConfig)
	w.addGateways(2)
	if err := w.startGateways(); err != nil {
		return false, err
	}
	unproved, answered := 0, 0
	for n := range 10 {
		target := "/beds/"
		if w.trouble {
			target = "*"
		}
		status, stamp, err := w.options(w.gateways[n%2], target, fmt.Sprintf("options-%d", n))
		if err != nil {
			w.record.line("options-%d: no answer: %v", n, err)
			continue
		}
		answered++
		if status/100 == 2 && stamp == "" {
			unproved++
		}
	}
	w.record.line("%d of %d answers are successes without a server's X-Response-Stamp", unproved, answered)
	if answered == 0 {
		return false, fmt.Errorf("no answer")
	}
	return unproved > 0, nil
}

// options sends one OPTIONS request, and returns the status and the stamp of its answer.
func (w *world) options(g *gateway, target, id string) (status int, stamp string, err error) {
	conn, err := net.DialTimeout("tcp", g.addr(frontPort), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, "", err
	}
	w.record.line("caller sends %s OPTIONS %s to %s", id, target, g.name)
	fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token %s\r\nConnection: close\r\n\r\n", target, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	w.record.line("caller got %s: status %d, header %v", id, resp.StatusCode, resp.Header)
	return resp.StatusCode, resp.Header.Get("X-Response-Stamp"), nil
}
