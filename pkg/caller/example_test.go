package caller_test

import (
	"fmt"
	"net/http"

	"github.com/hibiscuspulley/hibiscuspulley/pkg/caller"
)

func ExampleError_Body() {
	err := &caller.Error{
		Status:  http.StatusServiceUnavailable,
		Code:    "no-capacity",
		Message: "no replica group had capacity within the queue timeout; try again later",
		Run:     caller.NotRun,
	}
	fmt.Println(string(err.Body()))
	// Output: {"error":{"message":"no replica group had capacity within the queue timeout; try again later","type":"server_error","param":null,"code":"no-capacity"}}
}
