// Package capacity measures the slopes that docs/CAPACITY.md is worked out from:
// real entry processes against stand-ins of the store and of the workers, at
// several sizes of each.
//
// # Usage
//
//	go test ./capacity -run '^$' -bench . -benchtime 1x -timeout 30m
package capacity
