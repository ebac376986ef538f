// Command crocusctl is the command-line tool for operators.
package main

import (
	"os"

	"crocusfold.dev/operator/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
