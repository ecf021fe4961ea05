// Command pollengauge is the only binary of the system. It runs the node process
// beside an upstream VM and contains the operator's commands.
package main

import (
	"os"

	"pollengauge.dev/cmd/pollengauge/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
