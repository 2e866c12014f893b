// Package settings reads the settings of one process: addresses, data centre,
// keys and limits. The configuration that all processes share is in package config.
package settings

import (
	"embed"
	"encoding/json"

	"github.com/tailscale/hujson"

	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// reference holds the documented defaults of every program, which are also
// the values of the fields that a settings file leaves out.
//
//go:embed reference/*.json
var reference embed.FS

// Program names one of the programs that have settings.
type Program string

// The programs that have settings.
const (
	ProgramEntry      Program = "entry"
	ProgramController Program = "controller"
	ProgramAdmin      Program = "admin"
	ProgramGateway    Program = "gateway"
)

// Reference returns the documented defaults of a program: JSON with comments.
func Reference(p Program) string {
	data, err := reference.ReadFile("reference/" + string(p) + ".json")
	if err != nil {
		return ""
	}
	return string(data)
}

// programOf tells whose settings out holds.
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

// Load reads a JSON file with comments into out and checks it. Fields that the
// file leaves out get their defaults. The error is of type strictjson.Problems.
func Load(path string, out any) error {
	if p, ok := programOf(out); ok {
		if err := defaults(p, out); err != nil {
			return err
		}
	}
	return strictjson.ReadFile(path, out)
}

// defaults fills out with the documented defaults, which needn't be complete.
func defaults(p Program, out any) error {
	std, err := hujson.Standardize([]byte(Reference(p)))
	if err != nil {
		return err
	}
	return json.Unmarshal(std, out)
}
