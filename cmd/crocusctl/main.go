// Command crocusctl is the operators' tool.
package main

import (
	"os"

	"crocusfold.dev/operator/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
