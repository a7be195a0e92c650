// Package flow decides the course of one request, from admission to the bill:
// a pure machine that takes events and the present time and gives actions.
package flow
