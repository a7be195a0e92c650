// Package scene has no code of its own. Its tests run the real routers and the
// operators' command line against stand-ins, and check what must always hold.
package scene
