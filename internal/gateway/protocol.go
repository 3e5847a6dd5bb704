package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuspulley/hibiscuspulley/internal/formation"
	"github.com/hibiscuspulley/hibiscuspulley/internal/registry"
	"github.com/hibiscuspulley/hibiscuspulley/internal/routes"
	"github.com/hibiscuspulley/hibiscuspulley/internal/store"
)

// RequestInfo holds the decoded headers of a caller's request.
type RequestInfo struct {
	// ID identifies the request. Responses carry the same ID.
	ID string
	// Key authenticates the organisation.
	Key string
	// Timeout is how long the caller waits, or 0 if the request doesn't state it.
	Timeout time.Duration
	Model   string
	// PromptParts are the IDs of the parts of the prompt, in order. Requests share
	// parts, except the last one.
	PromptParts []string
	// PromptTokens is the length of the prompt, MaxTokens the limit for the
	// response, and HintTokens the caller's estimate of its length.
	PromptTokens int
	MaxTokens    int
	HintTokens   int
	// LastEventID is the ID of the event after which a stream resumes, or empty
	// for a stream from the start.
	LastEventID string
	// InvalidHeaders describes headers that could not be parsed and are treated
	// as absent. The server decides whether to reject the request.
	InvalidHeaders []string
}

// ForwardInfo holds what an entry adds to a request for a backend server.
type ForwardInfo struct {
	Server string
	// Organisation is empty on public routes.
	Organisation string
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// LastEventID is the ID of the last event that the caller has received, or
	// empty.
	LastEventID string
}

// ResponseInfo holds the decoded headers of a server's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed is set if the response carries the server's signature.
	Signed bool
	// NotRun is set if the server states that the request did not run.
	NotRun bool
	// Limit is the number of requests per second that the server takes from all
	// entries together, or 0 if it names no limit. If it names an invalid one,
	// InvalidLimit tells why it is ignored.
	Limit        float64
	InvalidLimit error
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Wait is for how long the server wants no requests of this entry, or 0. If it
	// names an invalid time, InvalidWait tells why it is ignored.
	Wait        time.Duration
	InvalidWait error
}

// Protocol decodes and encodes the headers of requests and responses.
type Protocol struct {
	DecodeRequest func(h http.Header) RequestInfo
	// Forward changes the headers of a caller's request in place.
	Forward func(h http.Header, f ForwardInfo)
	// DecodeResponse decodes a response with the status.
	DecodeResponse func(h http.Header, status int) ResponseInfo
}

// Platform connects the gateway to the hosting platform.
type Platform struct {
	Store    store.Client
	Protocol Protocol
	// OperatorTable and ServerTable name the tables to follow.
	OperatorTable string
	ServerTable   string
	// IsConfig reports whether the operators' row with the key holds the
	// configuration.
	IsConfig func(key string) bool
	// EvacuatedZone returns the zone that the operators' row with the key marks
	// as evacuated. It returns false for other rows.
	EvacuatedZone func(key string) (zone string, ok bool)
	DecodeConfig  func(value []byte) (routes.Config, error)
	// DecodeServer decodes a server's record that was received at now.
	DecodeServer func(id string, value []byte, now time.Time) (*registry.Server, error)
	// SendOrder sends an order to the server at an address.
	SendOrder func(ctx context.Context, address string, o formation.Order) (formation.Outcome, error)
	// FetchServer requests a server's current record.
	FetchServer func(ctx context.Context, server registry.Server) (registry.Server, error)
}
