// Package dialerror tells failures to open a connection from later ones.
package dialerror

import (
	"net"

	"github.com/pkg/errors"
)

// Is reports whether err means that no connection was opened, so that no byte
// can have reached the other end.
func Is(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
