package main

import (
	"embed"
	"strings"
)

// wireFiles holds what bears the platform's names: configurations, an entry of a server, and headers.
//
//go:embed wire
var wireFiles embed.FS

// wireFile returns the text of a file.
func wireFile(name string) string {
	text, err := wireFiles.ReadFile("wire/" + name)
	if err != nil {
		panic(err) // the file is part of the program
	}
	return strings.TrimSpace(string(text))
}

// headerNames holds the names of headers by what they hold.
var headerNames = readHeaderNames()

func readHeaderNames() map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(wireFile("headers.txt")) {
		what, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		out[what] = name
	}
	return out
}

// wireHeader returns the name of the header that holds something.
func wireHeader(what string) string { return headerNames[what] }
