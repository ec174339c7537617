package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Slack that the page on the protocol adds to the time limits of the rules on sockets.
const (
	limitSlack = 300 * time.Millisecond
	startSlack = time.Second // the limits start no earlier than this after the pilot first answered
	restSlack  = 100 * time.Millisecond
)

// world is the platform of one run. mu guards everything that changes.
type world struct {
	d      *deployment
	log    *recorder
	dir    string
	ended  chan struct{}
	random *rand.Rand

	mu         sync.Mutex
	list       registry
	everListed map[string]bool
	servers    map[string]*server
	pilots     []*pilot
	proxies    []*proxy

	excuses                   []excuse
	requests                  int
	answered, failed, refused map[string]int
	breaches                  []string
	breachCount               int
	barest                    time.Duration // longest time that a proxy was without an endpoint
	toGone                    int           // requests that were sent to an endpoint after its grace
}

// excuse is a time by which a disruption lengthens the limits that run at its moment or begin within it.
type excuse struct {
	at   time.Time
	span time.Duration
}

// excuse lengthens the time limits. The caller holds the lock.
func (w *world) excuse(span time.Duration) {
	w.excuses = append(w.excuses, excuse{time.Now(), span})
}

// excused returns by how much the limits that run from a moment are lengthened. The caller holds the lock.
func (w *world) excused(from time.Time) (sum time.Duration) {
	for _, e := range w.excuses {
		if e.at.Add(e.span).After(from) {
			sum += e.span
		}
	}
	return sum
}

func newWorld(d *deployment, seed int64, log *recorder) *world {
	return &world{
		d: d, log: log, ended: make(chan struct{}), random: rand.New(rand.NewSource(seed)), list: newRegistry(),
		everListed: map[string]bool{}, servers: map[string]*server{}, answered: map[string]int{}, failed: map[string]int{},
		refused: map[string]int{},
	}
}

// start starts endpoints, proxies and the first pilots, and opens the relays.
func (w *world) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return err
	}
	w.dir = dir
	if err := w.add(time.Time{}, w.d.endpoints...); err != nil {
		return err
	}
	for rank := range w.d.pilotZones {
		p, err := newPilot(w, rank)
		if err != nil {
			return err
		}
		w.pilots = append(w.pilots, p)
	}
	for _, p := range w.pilots {
		if err := p.start(ctx); err != nil {
			return err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, zone := range w.d.proxies {
		w.proxies = append(w.proxies, newProxy(w, n, zone, w.random.Int63()))
	}
	for _, p := range w.pilots {
		p.relay.open = true
	}
	for _, p := range w.proxies {
		w.dial(p)
		go p.run()
	}
	go w.watch()
	return nil
}

// add starts endpoints and lists them.
func (w *world) add(since time.Time, members ...member) error {
	var entries []entry
	for _, m := range members {
		s, err := newServer(w, m, since)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.servers[m.name] = s
		w.everListed[m.name] = true
		w.log.line("endpoint %s of zone %s runs", m.name, m.zone)
		w.mu.Unlock()
		entries = append(entries, s.entry)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list.put(entries...)
	return nil
}

// status lists endpoints with a new status.
func (w *world) status(status string, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []entry
	for _, name := range names {
		s := w.servers[name]
		s.entry.Status = status
		entries = append(entries, s.entry)
		w.log.line("endpoint %s is listed as %s", name, status)
	}
	w.list.put(entries...)
}

// stopServers ends the processes of endpoints.
func (w *world) stopServers(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.servers[name].stop()
		w.log.line("endpoint %s has stopped", name)
	}
}

// home returns the pilot that a proxy joins: one of its zone if there is one, or any that runs. Without zones the
// proxies are dealt evenly. The caller holds the lock.
func (w *world) home(p *proxy) *pilot {
	var up []*pilot
	for _, c := range w.pilots {
		if c.up && c.zone == p.zone && w.d.byZone {
			return c
		}
		if c.up {
			up = append(up, c)
		}
	}
	switch {
	case len(up) == 0:
		return nil
	case w.d.byZone:
		return up[0]
	}
	return up[p.number/len(w.d.zones)%len(up)]
}

// dial joins a proxy to its pilot. The caller holds the lock.
func (w *world) dial(p *proxy) {
	to := w.home(p)
	if to == nil {
		w.redial(p)
		return
	}
	p.joins++
	p.joinedAt = time.Now()
	p.relay = to.relay
	p.ordered = map[string]int{}
	w.log.line("proxy %d of zone %s joins %s", p.number, p.zone, to.name)
	to.relay.join(p)
}

// leave ends a proxy's stream and has it dial again. The caller holds the lock.
func (w *world) leave(p *proxy, why string) {
	if p.relay == nil {
		return
	}
	w.log.line("proxy %d leaves %s: %s", p.number, p.relay.pilot.name, why)
	p.relay.leave(p)
	p.relay = nil
	p.joins++
	clear(p.bare)
	w.redial(p)
}

// breakStreams breaks a share of the streams at once. Each break is noticed later, and the proxy then dials again.
func (w *world) breakStreams(share float64, notice [2]time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.proxies {
		if p.relay == nil || w.random.Float64() >= share {
			continue
		}
		r, p := p.relay, p
		w.log.line("stream of proxy %d to %s breaks", p.number, r.pilot.name)
		p.joins++ // what is under way to it is lost
		p.relay = nil
		clear(p.bare)
		joins := p.joins
		time.AfterFunc(notice[0]+time.Duration(w.random.Int63n(int64(notice[1]-notice[0])+1)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if p.joins != joins {
				return
			}
			w.log.line("break of proxy %d is noticed", p.number)
			r.leave(p)
			w.redial(p)
		})
	}
}

// redial has a proxy dial after the time that it takes. The caller holds the lock.
func (w *world) redial(p *proxy) {
	low, high := w.d.redial[0], w.d.redial[1]
	joins := p.joins
	time.AfterFunc(low+time.Duration(w.random.Int63n(int64(high-low)+1)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p.relay == nil && p.joins == joins {
			w.dial(p)
		}
	})
}

// goHome moves the proxies that are joined to another pilot back to that of their zone.
func (w *world) goHome() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.proxies {
		if to := w.home(p); p.relay != nil && to != nil && to.relay != p.relay {
			w.leave(p, "it goes back")
		}
	}
}

// named returns the classes that an order names; none means all.
func (w *world) named(classes any) (names []string) {
	if list, ok := classes.([]any); ok {
		for _, c := range list {
			names = append(names, fmt.Sprint(c))
		}
		return names
	}
	for _, c := range w.d.classes {
		names = append(names, c.name)
	}
	return names
}

// drawClass draws the class of a request.
func (w *world) drawClass(random *rand.Rand) class {
	at := random.Float64()
	for _, c := range w.d.classes {
		if at -= c.share; at <= 0 {
			return c
		}
	}
	return w.d.classes[len(w.d.classes)-1]
}

// mayServe returns whether a class is open to an endpoint, for the proxies of a zone.
func (w *world) mayServe(c class, endpoint, zone string) bool {
	s := w.servers[endpoint]
	if s == nil {
		return false
	}
	return (len(c.onlyKinds) == 0 || slices.Contains(c.onlyKinds, s.entry.Type)) && (!c.ownZone || s.entry.Zone == zone)
}

// watch refreshes load reports and checks the rule on proxies without an endpoint, until the run ends.
func (w *world) watch() {
	last := time.Now()
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if time.Since(last) > 800*time.Millisecond {
			last = time.Now()
			for _, s := range w.servers {
				s.refresh()
			}
		}
		for _, p := range w.proxies {
			for _, c := range w.d.classes {
				w.checkBare(p, c)
			}
		}
		w.mu.Unlock()
	}
}

// checkBare checks the first rule for a proxy and a class. The caller holds the lock.
func (w *world) checkBare(p *proxy, c class) {
	if p.relay == nil || len(p.lines(c)) > 0 || !w.hasWarm(p, c) {
		delete(p.bare, c.name)
		return
	}
	now := time.Now()
	if p.bare[c.name].IsZero() {
		p.bare[c.name] = now
		w.log.line("proxy %d has no endpoint to pick for %s", p.number, c.name)
	}
	from := p.bare[c.name]
	if earliest := p.relay.pilot.pongAt.Add(startSlack); from.Before(earliest) {
		from = earliest
	}
	w.barest = max(w.barest, now.Sub(from))
	if now.Sub(from) > w.d.emptyFor+limitSlack+restSlack+w.excused(from) {
		w.broken("nobody left without a server: proxy %d of zone %s, joined to %s, class %s, no endpoint for %.1f s", p.number,
			p.zone, p.relay.pilot.name, c.name, now.Sub(from).Seconds())
		p.bare[c.name] = now.Add(time.Hour) // once for each time
	}
}

// hasWarm returns whether the list of a proxy's pilot has a warm endpoint that is open to a class.
func (w *world) hasWarm(p *proxy, c class) bool {
	for name, e := range p.relay.pilot.told {
		warm := e.SinceMs == 0 || time.Since(time.UnixMilli(e.SinceMs)) >= w.d.cold
		if e.Status == active && warm && w.mayServe(c, name, p.zone) {
			return true
		}
	}
	return false
}

// sent checks the rule on drains for a request that a proxy sends. The caller holds the lock.
func (w *world) sent(p *proxy, endpoint string, id int, c class) {
	if p.relay == nil {
		return
	}
	told := p.relay.pilot.toldAt[endpoint]
	if told.IsZero() {
		return
	}
	from := told
	for _, t := range []time.Time{p.joinedAt, p.relay.pilot.pongAt.Add(startSlack)} {
		if t.After(from) {
			from = t
		}
	}
	over := time.Since(from) - w.d.drainGrace - limitSlack - restSlack - w.excused(from)
	if over > 0 {
		w.toGone++
		w.broken("drains are kept: req %d %s by proxy %d goes to %s, which %s was told to be %s %.1f s ago (joined %.1f s ago)", id,
			c.name, p.number, endpoint, p.relay.pilot.name, p.relay.pilot.told[endpoint].Status, time.Since(told).Seconds(),
			time.Since(p.joinedAt).Seconds())
	}
}

// broken records a breach. The caller holds the lock.
func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.breachCount++
	w.log.line("RULE BROKEN: %s", text)
	if len(w.breaches) < 20 {
		w.breaches = append(w.breaches, text)
	}
}

// verdict ends the run and returns the exit code.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	summary := fmt.Sprintf("requests %d, answered %v, failed %v, refused %v, longest without endpoint %.1f s, to gone %d",
		w.requests, w.answered, w.failed, w.refused, w.barest.Seconds(), w.toGone)
	w.log.line("%s", summary)
	fmt.Println(summary)
	for _, p := range w.pilots {
		w.log.line("channel of %s: most lines waiting %d of %.0f", p.name, p.relay.maxWaiting, w.d.backlog)
		fmt.Printf("channel of %s: most lines waiting %d of %.0f\n", p.name, p.relay.maxWaiting, w.d.backlog)
	}
	for _, b := range w.breaches {
		fmt.Println("RULE BROKEN:", b)
	}
	if w.breachCount > 0 {
		fmt.Printf("broken %d times\n", w.breachCount)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// close ends everything that the run started.
func (w *world) close() {
	close(w.ended)
	for _, p := range w.pilots {
		p.end(syscall.SIGTERM)
		_ = p.agent.server.Close()
		_ = p.relay.server.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// sortedNames returns the keys of a map in ascending order.
func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// sleep waits for a time of the run, counted from its start.
func (w *world) sleep(ctx context.Context, until float64) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("ended early: %w", ctx.Err())
	case <-time.After(time.Duration(until*float64(time.Second)) - time.Since(w.log.start)):
		return nil
	}
}
