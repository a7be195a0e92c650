// Package scene contains only end-to-end tests. They run the router and operator
// binaries against a simulated platform and simulated endpoints under faults, and
// check the guarantees of the system.
package scene
