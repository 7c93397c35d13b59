// Command rackspur dispatches jobs of short tasks. "rackspur help" lists its
// subcommands.
package main

import (
	"os"

	"rackspur/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
