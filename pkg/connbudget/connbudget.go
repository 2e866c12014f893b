// Package connbudget decides which of the callers' connections are closed first, when there are
// too many of them or when the heads of their requests take too much memory. It uses no network.
package connbudget

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"
)

// Stage is how far a connection is with its next request, which hasn't begun to run.
type Stage int

// The stages, in the order in which connections are closed.
const (
	// Refused means that the connection was refused, and stays open only until the caller has
	// read the response.
	Refused Stage = iota
	// Pending means that the first request's head, or the rest of a request, is awaited.
	Pending
	// Idle means that a request was served and nothing of the next one was received.
	Idle
)

// youngAge is the age up to which a pending connection isn't closed before idle ones. An ordinary
// caller's head arrives within it also over a slow link.
const youngAge = 250 * time.Millisecond

// Source identifies the callers between whom room is shared: an IPv4 address, or the network of
// an IPv6 address, of which a single caller may have many.
type Source netip.Addr

// ipv6SourceBits is the length of the prefix of an IPv6 address that identifies a source.
const ipv6SourceBits = 64

// SourceOf returns the source of an address.
func SourceOf(a netip.Addr) Source {
	a = a.Unmap().WithZone("")
	if a.Is6() {
		network, _ := a.Prefix(ipv6SourceBits) // can't fail: the length is valid
		a = network.Addr()
	}
	return Source(a)
}

// SourceOfAddr returns the source of a connection from an address; that of connections in memory is
// the zero value.
func SourceOfAddr(a net.Addr) Source {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return Source{}
	}
	return SourceOf(tcp.AddrPort().Addr())
}

// Conn is a connection that may be closed, as its request hasn't begun to run.
type Conn struct {
	Source Source
	Stage  Stage
	// Age is the time since the stage began.
	Age time.Duration
}

// Victims returns the indices of the connections to close so that there is room for another
// one: all that are refused, else up to half of the pending ones, the oldest of the source that
// has most of them first, else the one that is idle for longest of the source that has most of
// those. most bounds the number of pending ones. Closing several at once keeps the cost of a
// flood of connections low.
func Victims(conns []Conn, most int) []int {
	if refused := indices(conns, func(c Conn) bool { return c.Stage == Refused }); len(refused) > 0 {
		return refused
	}
	pending := indices(conns, func(c Conn) bool { return c.Stage == Pending })
	if flooded := len(pending) > len(conns)/2; flooded {
		return floodVictims(conns, pending, most)
	}
	pending = slices.DeleteFunc(pending, func(i int) bool { return conns[i].Age < youngAge })
	if largest := largestSource(conns, pending); len(largest) > 0 {
		return largest[:min(most, (len(largest)+1)/2)]
	}
	idle := indices(conns, func(c Conn) bool { return c.Stage == Idle })
	if largest := largestSource(conns, idle); len(largest) > 0 {
		return largest[:1]
	}
	young := indices(conns, func(c Conn) bool { return c.Stage == Pending })
	if len(young) == 0 {
		return nil
	}
	return largestSource(conns, young)[:1]
}

// floodVictims returns up to half of the pending connections of the source that has most of them,
// and then the oldest of the others: a flood may come from many addresses.
func floodVictims(conns []Conn, pending []int, most int) []int {
	largest := largestSource(conns, slices.Clone(pending))
	out := largest[:min(most, (len(largest)+1)/2)]
	others := slices.DeleteFunc(pending, func(i int) bool { return conns[i].Source == conns[out[0]].Source })
	oldestFirst(conns, others)
	room := max(0, min(most, (len(largest)+len(others))/2)-len(out))
	return append(out, others[:min(room, len(others))]...)
}

// oldestFirst sorts indices by the age of their connections.
func oldestFirst(conns []Conn, list []int) {
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(conns[b].Age, conns[a].Age) })
}

// indices returns the indices of the connections that match.
func indices(conns []Conn, match func(Conn) bool) []int {
	var out []int
	for i, c := range conns {
		if match(c) {
			out = append(out, i)
		}
	}
	return out
}

// largestSource returns those of a list that belong to the source with most of them, or to that
// with the oldest one among several such, the oldest first.
func largestSource(conns []Conn, list []int) []int {
	if len(list) == 0 {
		return nil
	}
	oldestFirst(conns, list)
	counts := make(map[Source]int)
	for _, i := range list {
		counts[conns[i].Source]++
	}
	largest := conns[list[0]].Source
	for _, i := range list {
		if source := conns[i].Source; counts[source] > counts[largest] {
			largest = source
		}
	}
	return slices.DeleteFunc(list, func(i int) bool { return conns[i].Source != largest })
}
