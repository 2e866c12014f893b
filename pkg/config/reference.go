package config

import _ "embed" // for Reference

// Reference is a valid example document, in JSON with comments that document every field.
//
//go:embed reference/config.json
var Reference string
