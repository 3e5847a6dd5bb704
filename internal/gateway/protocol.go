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

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID identifies the request; answers repeat it.
	ID string
	// Key authenticates the organisation.
	Key string
	// Wait is how long the caller waits; 0 if it doesn't say.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens are the prompt's length and the answer's
	// bound; HintTokens is the caller's estimate of the answer.
	PromptTokens int
	MaxTokens    int
	HintTokens   int
	// LastEvent is the event after which a stream goes on.
	LastEventID string
	// Unreadable lists what could not be read and counts as absent; the server
	// judges it.
	InvalidHeaders []string
}

// ForwardInfo is what an entry tells a backend server.
type ForwardInfo struct {
	Server string
	// Organisation is empty on public routes.
	Organisation string
	// Left is how long the caller still waits.
	Timeout     time.Duration
	Priority    int
	LastEventID string
}

// ResponseInfo is what identifies a server's answer.
type ResponseInfo struct {
	ID string
	// Signed answers carry the server's receipt.
	Signed bool
	// NotRun answers say that the request did not run.
	NotRun bool
}

// Protocol translates callers' requests and servers' answers.
type Protocol struct {
	DecodeRequest  func(h http.Header) RequestInfo
	Forward        func(h http.Header, f ForwardInfo)
	DecodeResponse func(h http.Header, status int) ResponseInfo
}

// Platform is what the hosting platform offers, translated.
type Platform struct {
	Store    store.Client
	Protocol Protocol
	// OperatorTable and ServerTable are the tables that are followed.
	OperatorTable string
	ServerTable   string
	IsConfig      func(key string) bool
	EvacuatedZone func(key string) (zone string, ok bool)
	DecodeConfig  func(value []byte) (routes.Config, error)
	DecodeServer  func(id string, value []byte, now time.Time) (*registry.Server, error)
	// Order gives an order to the server at an address.
	SendOrder func(ctx context.Context, address string, o formation.Order) (formation.Outcome, error)
	// Report asks a server for its state.
	FetchServer func(ctx context.Context, known registry.Server) (registry.Server, error)
}
