// Package settings loads the per-process settings, such as addresses, data centre,
// key files and limits. The configuration shared by all processes is in package config.
package settings

import (
	"embed"
	"encoding/json"

	"github.com/tailscale/hujson"

	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// reference holds the documented defaults of each program. Fields missing from a
// settings file take their values from here.
//
//go:embed reference/*.json
var reference embed.FS

// Program is the name of a program that has settings.
type Program string

// The programs that have settings.
const (
	ProgramEntry      Program = "entry"
	ProgramController Program = "controller"
	ProgramAdmin      Program = "admin"
	ProgramGateway    Program = "gateway"
)

// Reference returns the defaults of a program, in JSON with comments that document them.
func Reference(p Program) string {
	data, err := reference.ReadFile("reference/" + string(p) + ".json")
	if err != nil {
		return ""
	}
	return string(data)
}

// programOf returns the program whose settings type out points to.
func programOf(out any) (Program, bool) {
	switch out.(type) {
	case *Entry:
		return ProgramEntry, true
	case *Controller:
		return ProgramController, true
	case *Admin:
		return ProgramAdmin, true
	case *Gateway:
		return ProgramGateway, true
	}
	return "", false
}

// Load reads a JSON file with comments into out and validates it. Fields missing
// from the file get their defaults. The error is of type strictjson.Problems.
func Load(path string, out any) error {
	if p, ok := programOf(out); ok {
		if err := applyDefaults(p, out); err != nil {
			return err
		}
	}
	return strictjson.ReadFile(path, out)
}

// applyDefaults decodes the documented defaults into out. They are not validated,
// because required fields are empty in them.
func applyDefaults(p Program, out any) error {
	std, err := hujson.Standardize([]byte(Reference(p)))
	if err != nil {
		return err
	}
	return json.Unmarshal(std, out)
}
