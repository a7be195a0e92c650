// Package wire holds the generated messages and links of the protocol between
// routers.
package wire
