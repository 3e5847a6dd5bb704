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
	callerPlace = "callers"
	callEvery   = 100 * time.Millisecond
	// patience is how long a caller waits for its answer, and gapPatience for
	// the next event of a stream.
	patience    = 6 * time.Second
	gapPatience = 2 * time.Second
	// faithful is the share of requests on connections that callers keep,
	// whatever the entry says of its readiness.
	faithful = 0.2
)

// callers send requests at a steady rate from every zone.
type callers struct {
	site *site
	wg   sync.WaitGroup

	mu      sync.Mutex
	clients map[string]*http.Client
	last    int
	// impatient is the share of callers that leave after leaveAfter, and
	// hasty the share that asks three times more at once.
	impatient  float64
	leaveAfter time.Duration
	hasty      float64
	results    []result
}

// result is what became of a request.
type result struct {
	at           time.Time
	path         string
	organisation string
	status       int
	whole        bool
	err          error
	left         bool
}

func (c *callers) call(zone string) {
	for !c.site.done() {
		c.wg.Go(func() { c.request(zone) })
		time.Sleep(callEvery)
	}
}

func (c *callers) wait() {
	c.wg.Wait()
	for _, client := range c.clients {
		client.CloseIdleConnections()
	}
}

func (c *callers) set(impatient float64, leaveAfter time.Duration, hasty float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impatient, c.leaveAfter, c.hasty = impatient, leaveAfter, hasty
}

// pick returns a machine as a balancer does: one of the zone that is ready,
// else any that is. Some callers stay with one that is not.
func (c *callers) pick(zone string) *machine {
	var here, elsewhere []*machine
	keeps := c.site.chance(faithful)
	for _, m := range c.site.allMachines() {
		switch {
		case !m.ready() && (!keeps || m.current() == nil):
		case m.zone == zone:
			here = append(here, m)
		default:
			elsewhere = append(elsewhere, m)
		}
	}
	if len(here) == 0 {
		here = elsewhere
	}
	if len(here) == 0 {
		return nil
	}
	return here[c.site.intn(len(here))]
}

func (c *callers) client(m *machine) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = make(map[string]*http.Client)
	}
	if c.clients[m.name] == nil {
		c.clients[m.name] = &http.Client{Transport: c.site.transport(callerPlace)}
	}
	return c.clients[m.name]
}

// request sends one request, and more of its kind if the caller is hasty.
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
	weights := []string{"large", "small"}[c.site.intn(2)]
	c.mu.Lock()
	impatient, leaveAfter, hasty := c.impatient, c.leaveAfter, c.hasty
	c.mu.Unlock()
	left := patience
	if c.site.chance(impatient) {
		left = leaveAfter
	}
	r := c.once(zone, path, organisation, weights, left)
	if r.status != http.StatusOK && c.site.chance(hasty) {
		for range 3 {
			c.once(zone, path, organisation, weights, left)
		}
	}
}

func (c *callers) once(zone, path, organisation, weights string, left time.Duration) result {
	c.mu.Lock()
	c.last++
	id := strconv.Itoa(c.last)
	c.mu.Unlock()
	r := result{at: time.Now(), path: path, organisation: organisation}
	m := c.pick(zone)
	if m == nil {
		return c.note(r)
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address()+path, strings.NewReader("body of "+id))
	if err != nil {
		r.err = err
		return c.note(r)
	}
	request.Host = "yard.example"
	for name, value := range map[string]string{
		"Id": id, "Key": "k-" + organisation, "Weights": weights, "Wait-Ms": strconv.FormatInt(left.Milliseconds(), 10),
		"Sent": strconv.FormatInt(r.at.UnixMilli(), 10),
	} {
		request.Header.Set(name, value)
	}
	c.site.witness.asked(id, path, r.at)
	reply, err := c.client(m).Do(request)
	if err != nil {
		r.err, r.left = err, ctx.Err() != nil
		c.leave(id, r)
		return c.note(r)
	}
	defer reply.Body.Close()
	r.status = reply.StatusCode
	body, err := readPatiently(reply.Body, cancel)
	r.err, r.left = err, ctx.Err() != nil
	c.leave(id, r)
	r.whole = c.site.witness.answered(id, path, reply, body, err)
	return c.note(r)
}

func (c *callers) leave(id string, r result) {
	if r.left {
		c.site.witness.left(id)
	}
}

func (c *callers) note(r result) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return r
}

// readPatiently reads an answer and leaves when nothing comes for too long.
func readPatiently(body io.Reader, leave func()) (string, error) {
	var text strings.Builder
	timer := time.AfterFunc(gapPatience, leave)
	defer timer.Stop()
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		text.Write(buf[:n])
		timer.Reset(gapPatience)
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
		return streams
	}
	return records
}

// served returns the share of requests sent in a span that were served, and a
// line on the others. Those of callers who left by themselves don't count.
func (c *callers) served(from, to time.Time, counts func(result) bool) (float64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, whole := 0, 0
	others := map[string]int{}
	for _, r := range c.results {
		if r.at.Before(from) || !r.at.Before(to) || !counts(r) {
			continue
		}
		all++
		if r.whole {
			whole++
			continue
		}
		others[fmt.Sprintf("%s %d %v", r.path, r.status, r.err)]++
	}
	if all == 0 {
		return 0, "no request"
	}
	return float64(whole) / float64(all), fmt.Sprint(others)
}
