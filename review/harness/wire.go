package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"strings"
)

// wireFiles holds what is spoken with the users' platform, so that its names stand there only:
// headers, the entry of a server, and configurations.
//
//go:embed wire
var wireFiles embed.FS

// header returns the platform's name of a header.
func header(name string) string {
	value, ok := headers[name]
	if !ok {
		panic("no such header: " + name)
	}
	return value
}

var headers = readHeaders()

func readHeaders() map[string]string {
	names := make(map[string]string)
	if err := json.Unmarshal([]byte(wireText("headers.json")), &names); err != nil {
		panic(err)
	}
	return names
}

// wireText returns the content of a file.
func wireText(name string) string {
	data, err := wireFiles.ReadFile("wire/" + name)
	if err != nil {
		panic(fmt.Sprintf("no file %s: %v", name, err))
	}
	return strings.TrimSpace(string(data))
}

// setConfig writes a configuration: plain, scaled or streams.
func (d *deployment) setConfig(name string) { d.store.Put("config", "main", wireText(name+".json")) }
