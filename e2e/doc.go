// Package e2e tests the whole system with separate processes: the stand-ins of the
// platform's store and workers, the entries, and the commands of chestnutsail.
//
// # Usage
//
//	go test ./e2e
package e2e
