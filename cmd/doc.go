// Package cmd holds the programs and the tests that run them as processes.
package cmd
