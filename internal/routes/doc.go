// Package routes defines the operators' configuration of a gateway and looks up
// the route, service and organisation of a request.
package routes
