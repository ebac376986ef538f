// Package cmd contains the programs and the tests that run them as processes.
package cmd
