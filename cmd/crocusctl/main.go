// Command crocusctl is the command-line tool for operators.
package main

import (
	"os"

	"crocusfold.dev/operator/verb"
)

func main() { os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr)) }
