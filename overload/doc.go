// Package overload tests that an instance survives clients that exceed its limits or hold its resources:
// endless request heads, many large bodies that stop short of their end, and more connections than it has
// descriptors for. Each test starts the real program on loopback addresses with lowered limits, opens a
// fixed crowd of connections, and checks what does not depend on the machine's speed: that the process
// lives, that its memory and its sockets stay within the limits of its settings, and that it answers an
// ordinary request while the crowd's connections are open.
//
// # Usage
//
//	go test ./overload
package overload
