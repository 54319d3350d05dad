// Package e2e tests the system as separate processes: the stand-ins of the
// platform, entries, and the command line.
//
// # Usage
//
//	go test ./e2e
package e2e
