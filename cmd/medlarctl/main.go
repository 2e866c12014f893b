// Command medlarctl operates medlarsill from the command line.
package main

import (
	"os"

	"github.com/medlarsill/medlarsill/pkg/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
