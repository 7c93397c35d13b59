// Package wire holds the messages between rackspur's own processes.
//
// The Go code is generated from rackspur.proto and committed, so that the
// build needs no generator.
package wire
