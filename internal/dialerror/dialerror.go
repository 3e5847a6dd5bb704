// Package dialerror detects errors from opening a network connection.
package dialerror

import (
	"net"

	"github.com/pkg/errors"
)

// Is reports whether err means that no connection was opened. No byte can then
// have reached the peer.
func Is(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
