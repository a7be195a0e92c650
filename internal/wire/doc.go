// Package wire has the generated messages, client and server of the gRPC protocol
// between routers.
package wire
