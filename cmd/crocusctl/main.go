// Command crocusctl is the operators' tool.
package main

import (
	"os"

	"crocusfold.dev/operator/verb"
)

func main() { os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr)) }
