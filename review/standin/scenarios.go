package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// scenario is a deployment and what happens to it.
type scenario struct {
	deployment *deployment
	play       func(ctx context.Context, w *world, trouble bool) error
}

var scenarios = map[string]scenario{
	"replaced":   {quiet(docs(9, []string{"a", "b"})), replaced},
	"returns":    {branch(), returns},
	"blip":       {checks(), blip},
	"storm150":   {checks(), storm},
	"crowd":      {crowd(400, "a", "b"), storm},
	"cairo":      {advances(), storm},
	"mixed":      {mixed(), storm},
	"drain":      {checks(), drainInBreak},
	"release":    {crowd(150, "a", "b"), release},
	"release400": {patient(crowd(400, "a", "b")), release},
	"six400":     {crowd(400, "a", "b"), atOnce(6)},
	"five400":    {crowd(400, "a", "b"), atOnce(5)},
	"seven400":   {crowd(400, "a", "b"), atOnce(7)},
	"all400":     {crowd(400, "a", "a"), atOnce(3)},
	"all400six":  {crowd(400, "a", "a"), atOnce(6)},
	"all300":     {crowd(300, "a", "a"), atOnce(3)},
	"all300six":  {crowd(300, "a", "a"), atOnce(6)},
	"nine400":    {crowd(400, "a", "b"), atOnce(9)},
	"three400":   {crowd(400, "a", "b"), atOnce(3)},
	"nine920":    {fast(crowd(400, "a", "b")), atOnce(9)},
	"nine240":    {crowd(240, "a", "b", "c"), atOnce(9)},
	"nine150":    {crowd(150, "a", "b"), atOnce(9)},
	"join150":    {crowd(150, "a", "b"), joinDay},
	"join240":    {crowd(240, "a", "b", "c"), joinDay},
	"herd":       {crowd(240, "a", "b", "c"), herd},
	"release240": {crowd(240, "a", "b", "c"), release},
	"far":        {far(), farDrain},
	"storm":      {docs(15, []string{"a", "b"}), storm},
}

// quiet lowers the traffic of a deployment to that of quiet hours.
func quiet(d *deployment) *deployment {
	d.rate = 1
	return d
}

// docs returns a deployment like the small one of the first brief: endpoints in three zones, two pilots and 12 proxies.
func docs(endpoints int, pilotZones []string) *deployment {
	d := &deployment{
		zones: []string{"a", "b", "c"}, kinds: []string{"kind-a", "kind-b"}, pilotZones: pilotZones, rate: 2, byZone: true,
		classes: []class{
			{
				name: "stock-read", share: 0.39, work: 120 * time.Millisecond, aim: 1500 * time.Millisecond, deadline: 4 * time.Second,
				worth: 2, idempotency: "read_like",
			},
			{
				name: "lot-check", share: 0.38, work: 70 * time.Millisecond, aim: 800 * time.Millisecond,
				deadline: 2500 * time.Millisecond, worth: 3, idempotency: "read_like",
			},
			{
				name: "issue-note", share: 0.23, work: 150 * time.Millisecond, aim: 2500 * time.Millisecond,
				deadline: 7500 * time.Millisecond, worth: 5, idempotency: "non_idempotent", writes: true,
			},
		},
		linesPerS: 800, backlog: 1200, head: 4, late: 192 * time.Millisecond, lateMost: 480 * time.Millisecond,
		messagesMost: 30, standing: 5, ejects: 5, keepAway: 4 * time.Second, emptyFor: 4700 * time.Millisecond,
		drainGrace: 3 * time.Second, cold: 9 * time.Second, coldFrom: 0.16, fall: 1500 * time.Millisecond, fallMultiple: 2.5,
		connsLeast: 56, period: 500 * time.Millisecond, intakePerS: 60, reportLate: 400 * time.Millisecond,
		redial: [2]time.Duration{410 * time.Millisecond, 2200 * time.Millisecond}, fields: []string{"cpu_share", "served_ps"},
	}
	for i := range endpoints {
		d.endpoints = append(d.endpoints, member{fmt.Sprintf("s-%02d", i), d.zones[i%3], d.kinds[i%2]})
	}
	for i := range 12 {
		d.proxies = append(d.proxies, d.zones[i%3])
	}
	return d
}

// replaced: pilots restart in turn while endpoints give way to new ones under new ids, twice, a minute apart.
func replaced(ctx context.Context, w *world, trouble bool) error {
	n1 := w.pilots[1]
	// A planned restart of n1: its proxies join n0 and go back later.
	if err := w.sleep(ctx, 6); err != nil {
		return err
	}
	n1.end(syscall.SIGTERM)
	if err := w.sleep(ctx, 12); err != nil {
		return err
	}
	if err := n1.start(ctx); err != nil {
		return err
	}
	if err := w.sleep(ctx, 15); err != nil {
		return err
	}
	w.goHome()
	if err := w.sleep(ctx, 20); err != nil {
		return err
	}
	// The endpoints of zone b give way to new ones.
	if trouble {
		if err := w.replace(ctx, "b", "t"); err != nil {
			return err
		}
	}
	if err := w.sleep(ctx, 86); err != nil {
		return err
	}
	if trouble {
		if err := w.replace(ctx, "b", "u"); err != nil {
			return err
		}
	}
	if err := w.sleep(ctx, 101); err != nil {
		return err
	}
	n1.end(syscall.SIGTERM)
	return w.sleep(ctx, 112)
}

// replace starts a new endpoint for each one of a zone, drains the old ones and ends them.
func (w *world) replace(ctx context.Context, zone, prefix string) error {
	var old []string
	var fresh []member
	w.mu.Lock()
	for _, name := range sortedNames(w.servers) {
		if s := w.servers[name]; s.entry.Zone == zone && s.entry.Status == active {
			old = append(old, name)
			fresh = append(fresh, member{prefix + name[1:], zone, s.entry.Type})
		}
	}
	w.mu.Unlock()
	if err := w.add(time.Now(), fresh...); err != nil {
		return err
	}
	w.status(leaving, old...)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(4 * time.Second):
	}
	w.stopServers(old...)
	w.status(left, old...)
	return nil
}

// branch returns a deployment with a small third site: two endpoints, and a class that stays within the proxy's zone.
func branch() *deployment {
	d := docs(9, []string{"a"})
	d.byZone = false
	d.classes[2].ownZone = true
	d.endpoints = d.endpoints[:8] // zone c has s-02 and s-05
	return d
}

// returns: an endpoint of the small site is switched off for over a minute and on again, then the other one is drained.
// Meanwhile a new endpoint is switched on at another site. The streams of the small site break once in between and return,
// so that its proxies are bound anew.
func returns(ctx context.Context, w *world, trouble bool) error {
	if trouble {
		if err := w.sleep(ctx, 8); err != nil {
			return err
		}
		w.status(leaving, "s-02")
		if err := w.sleep(ctx, 12); err != nil {
			return err
		}
		w.stopServers("s-02")
		w.status(left, "s-02")
		if err := w.sleep(ctx, 74); err != nil {
			return err
		}
		if err := w.add(time.Now(), member{"x-09", "a", "kind-a"}); err != nil {
			return err
		}
		if err := w.sleep(ctx, 78); err != nil {
			return err
		}
		if err := w.add(time.Now(), member{"s-02", "c", "kind-a"}); err != nil {
			return err
		}
	}
	if err := w.sleep(ctx, 84); err != nil {
		return err
	}
	w.mu.Lock()
	for _, p := range w.proxies {
		if p.zone == "c" {
			w.leave(p, "its stream breaks")
		}
	}
	w.mu.Unlock()
	if err := w.sleep(ctx, 94); err != nil {
		return err
	}
	w.status(leaving, "s-05")
	return w.sleep(ctx, 110)
}

// checks returns a deployment of the size that the bench for real pilots has, with figures of the third site.
func checks() *deployment {
	d := docs(30, []string{"a", "b"})
	d.byZone = false
	d.rate = 0.7
	d.linesPerS, d.backlog, d.head, d.standing, d.connsLeast = 3700, 5550, 3, 10, 220
	d.late = 150 * time.Millisecond
	d.redial = [2]time.Duration{220 * time.Millisecond, 400 * time.Millisecond}
	d.proxies = nil
	for i := range 150 {
		d.proxies = append(d.proxies, d.zones[i%3])
	}
	return d
}

// patient gives a deployment a grace that suits its many proxies.
func patient(d *deployment) *deployment {
	d.drainGrace, d.emptyFor = 6*time.Second, 8*time.Second
	return d
}

// crowd returns a deployment with as many proxies as the bench for real pilots has.
func crowd(proxies int, pilotZones ...string) *deployment {
	d := docs(30, pilotZones)
	d.rate = 120 / float64(proxies)
	d.proxies = nil
	for i := range proxies {
		d.proxies = append(d.proxies, d.zones[i%3])
	}
	return d
}

// advances returns a deployment like the second site: two zones, two pilots, a class that only one kind of machine
// serves, and a grace of 2 s.
func advances() *deployment {
	d := docs(26, []string{"a", "b"})
	d.zones, d.byZone, d.rate = []string{"a", "b"}, false, 1
	d.classes[2].onlyKinds = []string{"kind-a"}
	for i := range d.endpoints {
		d.endpoints[i].zone = d.zones[i/2%2]
	}
	d.linesPerS, d.backlog, d.connsLeast, d.ejects = 3600, 3600, 360, 8
	d.late, d.lateMost = 420*time.Millisecond, 700*time.Millisecond
	d.drainGrace, d.emptyFor = 2*time.Second, 3*time.Second
	d.redial = [2]time.Duration{490 * time.Millisecond, 2400 * time.Millisecond}
	d.fields = []string{"pending", "svc_ms"}
	d.proxies = nil
	for i := range 89 {
		d.proxies = append(d.proxies, d.zones[i%2])
	}
	return d
}

// mixed returns a deployment whose classes differ in the endpoints that may serve them.
func mixed() *deployment {
	d := docs(24, []string{"a", "b"})
	d.classes[1].ownZone = true
	d.classes[2].onlyKinds = []string{"kind-b"}
	for i := range d.endpoints {
		d.endpoints[i].kind = d.kinds[i/3%2]
	}
	d.proxies = nil
	for i := range 36 {
		d.proxies = append(d.proxies, d.zones[i%3])
	}
	return d
}

// blip: most streams between proxies and pilots break at once, and so do the connections for news. Later the endpoints
// of two zones give way to new ones, one zone after the other.
func blip(ctx context.Context, w *world, trouble bool) error {
	if err := w.sleep(ctx, 15); err != nil {
		return err
	}
	if trouble {
		w.breakStreams(0.8, [2]time.Duration{500 * time.Millisecond, 1900 * time.Millisecond})
		for _, p := range w.pilots {
			time.AfterFunc(1200*time.Millisecond, func() { p.relay.breakNews(150 * time.Millisecond) })
		}
	}
	for i, zone := range []string{"b", "c"} {
		if err := w.sleep(ctx, 30+20*float64(i)); err != nil {
			return err
		}
		if err := w.replace(ctx, zone, "t"); err != nil {
			return err
		}
	}
	return w.sleep(ctx, 75)
}

// drainInBreak: most streams between proxies and pilots break at once, and so do the connections for news. Between the
// break and its being noticed one endpoint of each zone begins to drain.
func drainInBreak(ctx context.Context, w *world, trouble bool) error {
	if err := w.sleep(ctx, 15); err != nil {
		return err
	}
	if trouble {
		w.breakStreams(0.8, [2]time.Duration{500 * time.Millisecond, 1900 * time.Millisecond})
		for _, p := range w.pilots {
			time.AfterFunc(1200*time.Millisecond, func() { p.relay.breakNews(150 * time.Millisecond) })
		}
	}
	if err := w.sleep(ctx, 15.4); err != nil {
		return err
	}
	w.status(leaving, "s-03", "s-04", "s-05")
	if err := w.sleep(ctx, 32); err != nil {
		return err
	}
	w.stopServers("s-03", "s-04", "s-05")
	w.status(left, "s-03", "s-04", "s-05")
	return w.sleep(ctx, 50)
}

// release: half of the endpoints give way to new ones in five steps of one in each zone, while the pilots are restarted one
// at a time. All proxies come to the pilot that is left.
func release(ctx context.Context, w *world, trouble bool) error {
	if err := w.sleep(ctx, 20); err != nil {
		return err
	}
	if trouble {
		for i, p := range w.pilots {
			at := 21 + 8*float64(i)
			go func() {
				if w.sleep(ctx, at) != nil {
					return
				}
				p.end(syscall.SIGTERM)
				if w.sleep(ctx, at+2) != nil {
					return
				}
				if err := p.start(ctx); err != nil {
					w.log.line("start: %v", err)
				}
			}()
		}
	}
	return w.steps(ctx)
}

// herd: half of the endpoints give way to new ones in five steps; in the middle two of three pilots are killed at once.
func herd(ctx context.Context, w *world, trouble bool) error {
	if trouble {
		for _, p := range w.pilots[1:] {
			go func() {
				if w.sleep(ctx, 25.5) != nil {
					return
				}
				p.end(syscall.SIGKILL)
				if w.sleep(ctx, 31) != nil {
					return
				}
				if err := p.start(ctx); err != nil {
					w.log.line("start: %v", err)
				}
			}()
		}
	}
	return w.steps(ctx)
}

// steps replaces half of the endpoints, in steps of one in each zone, from 20 s on.
func (w *world) steps(ctx context.Context) error {
	for step := range 5 {
		if err := w.sleep(ctx, 20+3*float64(step)); err != nil {
			return err
		}
		var old []string
		var fresh []member
		for i := range 3 {
			old = append(old, fmt.Sprintf("s-%02d", 3*step+i))
			fresh = append(fresh, member{fmt.Sprintf("t-%02d", 3*step+i), w.d.zones[i], "kind-a"})
		}
		if err := w.add(time.Now(), fresh...); err != nil {
			return err
		}
		w.status(leaving, old...)
		time.AfterFunc(6*time.Second, func() {
			w.stopServers(old...)
			w.status(left, old...)
		})
	}
	return w.sleep(ctx, 55)
}

// atOnce: some endpoints drain at once, as many in each zone.
func atOnce(count int) func(ctx context.Context, w *world, trouble bool) error {
	return func(ctx context.Context, w *world, trouble bool) error {
		if err := w.sleep(ctx, 20); err != nil {
			return err
		}
		if trouble {
			var names []string
			for i := range count {
				names = append(names, fmt.Sprintf("s-%02d", i))
			}
			w.status(leaving, names...)
		}
		return w.sleep(ctx, 35)
	}
}

// fast gives a deployment the fastest channel that the site has.
func fast(d *deployment) *deployment {
	d.linesPerS, d.backlog = 920, 1380
	return d
}

// joinDay: six in ten endpoints are replaced within 7 s, one after the other.
func joinDay(ctx context.Context, w *world, trouble bool) error {
	for i := range 18 {
		if err := w.sleep(ctx, 20+0.39*float64(i)); err != nil {
			return err
		}
		if !trouble {
			continue
		}
		old := fmt.Sprintf("s-%02d", i)
		if err := w.add(time.Now(), member{"t" + old[1:], w.d.zones[i%3], "kind-a"}); err != nil {
			return err
		}
		w.status(leaving, old)
		time.AfterFunc(6*time.Second, func() {
			w.stopServers(old)
			w.status(left, old)
		})
	}
	return w.sleep(ctx, 45)
}

// far returns a deployment with as many proxies as the bench for real pilots has on one day, and a small third site: two
// endpoints, so that its proxies start with lines of all sites. Pilot n0 has the proxies of zones a and c, n1 those of b.
func far() *deployment {
	d := crowd(400, "a", "b")
	d.endpoints, d.proxies = nil, nil
	for i := range 20 {
		zone := "a"
		switch {
		case i >= 18:
			zone = "c"
		case i >= 10:
			zone = "b"
		}
		d.endpoints = append(d.endpoints, member{fmt.Sprintf("s-%02d", i), zone, d.kinds[i%2]})
	}
	for i := range 400 {
		zone := "a"
		switch {
		case i >= 360:
			zone = "c"
		case i >= 230:
			zone = "b"
		}
		d.proxies = append(d.proxies, zone)
	}
	return d
}

// farDrain: two endpoints of zone b drain, and end 12 s later.
func farDrain(ctx context.Context, w *world, trouble bool) error {
	if err := w.sleep(ctx, 20); err != nil {
		return err
	}
	if trouble {
		w.status(leaving, "s-10", "s-11")
	}
	if err := w.sleep(ctx, 32); err != nil {
		return err
	}
	if trouble {
		w.stopServers("s-10", "s-11")
		w.status(left, "s-10", "s-11")
	}
	return w.sleep(ctx, 45)
}
