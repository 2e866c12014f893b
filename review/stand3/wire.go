package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"
)

// wireText holds the platform's names, which no Go file outside its adapter may have.
//
//go:embed wire.json
var wireText []byte

// wire holds the headers of requests and answers, and the form of an entry in the store.
var wire = readWire()

type wireNames struct {
	RequestID, Expected, Instance, Proof, Leaving, Entry string
	// PlainRequest and StreamHead are requests, for fmt.
	PlainRequest, StreamHead string
}

func readWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(err) // the file is part of the program
	}
	return w
}

// registration returns the entry of a server in the store.
func registration(service, addr, zone, version string, slots int, born time.Time) string {
	return fmt.Sprintf(wire.Entry, service, addr, zone, version, slots, born.UnixMilli())
}
