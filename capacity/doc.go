// Package capacity measures how the resource use of an entry grows with the numbers of
// workers, entries, requests and jobs. The estimates in docs/CAPACITY.md are calculated
// from these figures. The benchmarks run real entry processes against stand-ins for the
// store and for the workers.
//
// # Usage
//
//	go test ./capacity -run '^$' -bench . -benchtime 1x -timeout 30m
package capacity
