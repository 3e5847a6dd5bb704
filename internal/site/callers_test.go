package site_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	callerEndpoint = "callers"
	callEvery      = 100 * time.Millisecond
	// callerTimeout bounds a request; eventGapTimeout bounds the wait for the
	// next event of a stream.
	callerTimeout   = 6 * time.Second
	eventGapTimeout = 2 * time.Second
	// stickyShare is the share of requests that are sent on existing
	// connections even if the entry is not ready.
	stickyShare = 0.2
)

// callers send requests at a steady rate from every zone.
type callers struct {
	site *site
	wg   sync.WaitGroup

	mu      sync.Mutex
	clients map[string]*http.Client
	last    int
	// cancelShare is the share of callers that cancel after cancelAfter;
	// retryShare is the share that retries a failed request three times without
	// a pause.
	cancelShare float64
	cancelAfter time.Duration
	retryShare  float64
	// perZone is the number of requests that are sent every callEvery in each zone.
	perZone int
	results []result
}

// result is the outcome of a request.
type result struct {
	at           time.Time
	path         string
	organisation string
	model        string
	deadly       bool
	status       int
	complete     bool
	err          error
	cancelled    bool
	// took is the time from sending the request to the end of the response.
	took time.Duration
}

func (c *callers) run(zone string) {
	for !c.site.done() {
		c.mu.Lock()
		n := c.perZone
		c.mu.Unlock()
		for range n {
			c.wg.Go(func() { c.request(zone) })
		}
		time.Sleep(callEvery)
	}
}

func (c *callers) wait() {
	c.wg.Wait()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

func (c *callers) setLoad(perZone int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.perZone = perZone
}

func (c *callers) setBehaviour(cancelShare float64, cancelAfter time.Duration, retryShare float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelShare, c.cancelAfter, c.retryShare = cancelShare, cancelAfter, retryShare
}

// pickMachine selects a machine like a load balancer: a ready one in the zone,
// otherwise any ready one. Sticky callers also use running machines that are
// not ready.
func (c *callers) pickMachine(zone string) *machine {
	var local, remote []*machine
	sticky := c.site.chance(stickyShare)
	for _, m := range c.site.allMachines() {
		switch {
		case !m.ready() && (!sticky || m.current() == nil):
		case m.zone == zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return nil
	}
	return local[c.site.intn(len(local))]
}

func (c *callers) client(m *machine) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = make(map[string]*http.Client)
	}
	if c.clients[m.name] == nil {
		c.clients[m.name] = &http.Client{Transport: c.site.transport(callerEndpoint)}
	}
	return c.clients[m.name]
}

// request sends one request. Some callers retry a failed one at once.
func (c *callers) request(zone string) {
	path := "/notes/1"
	switch n := c.site.intn(100); {
	case n < 15:
		path = "/bays/1"
	case n < 50:
		path = "/dock/1"
	}
	organisation := "north"
	if c.site.chance(0.2) {
		organisation = "south"
	}
	model := []string{"large", "small"}[c.site.intn(2)]
	c.mu.Lock()
	cancelShare, cancelAfter, retryShare := c.cancelShare, c.cancelAfter, c.retryShare
	c.mu.Unlock()
	timeout := callerTimeout
	if c.site.chance(cancelShare) {
		timeout = cancelAfter
	}
	r := c.send(zone, path, organisation, model, timeout)
	if r.status != http.StatusOK && c.site.chance(retryShare) {
		for range 3 {
			c.send(zone, path, organisation, model, timeout)
		}
	}
}

func (c *callers) send(zone, path, organisation, model string, timeout time.Duration) result {
	c.mu.Lock()
	c.last++
	id := strconv.Itoa(c.last)
	c.mu.Unlock()
	parts, deadly := c.site.drawParts(id, path, &model)
	r := result{at: time.Now(), path: path, organisation: organisation, model: model, deadly: deadly}
	m := c.pickMachine(zone)
	if m == nil {
		return c.addResult(r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address()+path, strings.NewReader("body of "+id))
	if err != nil {
		r.err = err
		return c.addResult(r)
	}
	request.Host = "yard.example"
	for name, value := range map[string]string{
		"Id": id, "Key": "k-" + organisation, "Weights": model, "Wait-Ms": strconv.FormatInt(timeout.Milliseconds(), 10),
		"Sent": strconv.FormatInt(r.at.UnixMilli(), 10), "Parts": parts,
	} {
		request.Header.Set(name, value)
	}
	c.site.checker.requestSent(id, path, r.at)
	response, err := c.client(m).Do(request)
	if err != nil {
		r.err, r.cancelled = err, ctx.Err() != nil
		c.recordCancellation(id, r)
		return c.addResult(r)
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	body, err := readWithGapTimeout(response.Body, cancel)
	r.err, r.cancelled = err, ctx.Err() != nil
	c.recordCancellation(id, r)
	r.complete = c.site.checker.responseReceived(id, path, response, body, err)
	return c.addResult(r)
}

func (c *callers) recordCancellation(id string, r result) {
	if r.cancelled {
		c.site.checker.requestCancelled(id)
	}
}

func (c *callers) addResult(r result) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.took = time.Since(r.at)
	c.results = append(c.results, r)
	return r
}

// readWithGapTimeout reads a response body and calls cancel when nothing
// arrives for eventGapTimeout.
func readWithGapTimeout(body io.Reader, cancel func()) (string, error) {
	var text strings.Builder
	timer := time.AfterFunc(eventGapTimeout, cancel)
	defer timer.Stop()
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		timer.Reset(eventGapTimeout)
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
	}
}

func serviceOf(path string) string {
	if strings.HasPrefix(path, "/notes/") {
		return streamService
	}
	return recordService
}

// servedShare returns the share of the counted requests sent in [from, to) that
// got a complete response, and a summary of the failures.
func (c *callers) servedShare(from, to time.Time, counts func(result) bool) (float64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total, complete := 0, 0
	failures := map[string]int{}
	for _, r := range c.results {
		if r.at.Before(from) || !r.at.Before(to) || !counts(r) {
			continue
		}
		total++
		if r.complete {
			complete++
			continue
		}
		failures[fmt.Sprintf("%s %d %v", r.path, r.status, r.err)]++
	}
	if total == 0 {
		return 0, "no request"
	}
	return float64(complete) / float64(total), fmt.Sprint(failures)
}
