package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// scenario is a case: its deployment and what happens.
type scenario struct {
	deploy func(d *deployment)
	play   func(w *world, trouble bool)
}

// scenarios returns the cases by name.
func scenarios() map[string]scenario {
	return map[string]scenario{
		"calm":     {nil, func(w *world, _ bool) { w.until(20) }},
		"news":     {nil, playNews},
		"random":   {nil, playRandom},
		"move":     {func(d *deployment) { d.endpoints = 60; d.lateMs = 100 }, playMove},
		"movejoin": {nil, playMoveJoin},
		"single":   {singleDeployment, playSingle},
		"zone":     {zoneDeployment, playZone},
		"zone3": {func(d *deployment) {
			zoneDeployment(d)
			d.endpoints, d.proxies = 30, 150
			d.ratePerProxy = 4.2
			d.capacity = 4000
		}, playZone},
		"zone2": {func(d *deployment) { zoneDeployment(d); d.zones = d.zones[:2]; d.capacity *= 0.6 / 0.72 }, playZone},
		"retry": {func(d *deployment) { d.retryDefault = 2 }, playRetry},
	}
}

// active returns the names of the active endpoints, oldest first. The caller must hold mu.
func (w *world) active() (names []string) {
	for name, s := range w.servers {
		if s.status == "active" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return int(w.servers[a].startedMs-w.servers[b].startedMs)*100 + strings.Compare(a, b)
	})
	return names
}

// replace starts a new endpoint in the place of one that drains, and takes the old one from the list later.
func (w *world) replace(name string, drainFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.servers[name]
	fresh := w.addServer(old.zone, 1)
	old.status = "leaving"
	w.agent.change(old, fresh)
	time.AfterFunc(drainFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if old.status == "leaving" {
			told := old.toldAt
			old.status = "left"
			w.agent.change(old)
			old.toldAt = told
		}
	})
}

// breakStreams breaks the streams of some proxies; each joins again after a while.
func (w *world) breakStreams(numbers []int, back func(i int) time.Duration, cold bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, number := range numbers {
		p := w.proxies[number]
		p.leave()
		time.AfterFunc(back(i), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if cold && !p.joined {
				p.restart()
			}
			p.join()
		})
	}
}

// silenceNews lets a connection that carries news go silent: what is told on it from now on never arrives.
func (w *world) silenceNews(i int) *newsStream {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i >= len(w.relay.news) {
		return nil
	}
	n := w.relay.news[i]
	n.silent = true
	w.log("news connection %d goes silent", n.number)
	return n
}

// resetNews resets a connection that carries news.
func (w *world) resetNews(n *newsStream) {
	if n == nil {
		return
	}
	w.note("news connection %d is reset", n.number)
	reset(n.conn)
}

// rollAll replaces all endpoints that were there at the start, one after another.
func (w *world) rollAll(from, step float64) {
	w.mu.Lock()
	names := w.active()
	w.mu.Unlock()
	for i, name := range names {
		w.until(from + step*float64(i))
		w.replace(name, 4*time.Second)
	}
}

// playNews: the relay's connections break at once. One of the two that carry news is reset, the other goes silent and is
// reset a second later; some proxies' streams break and come back after 0.4 to 2.2 s. Then endpoints give way to new
// ones. Without trouble only the endpoints change and the same streams break.
func playNews(w *world, trouble bool) {
	w.until(10)
	back := func(i int) time.Duration { return time.Duration(420+150*i) * time.Millisecond }
	broken := []int{0, 1, 2, 3, 4, 5}
	if trouble {
		silent := w.silenceNews(1)
		w.mu.Lock()
		first := w.relay.news[0]
		w.mu.Unlock()
		w.slack(4000, "the news break off")
		w.resetNews(first)
		w.breakStreams(broken, back, false)
		time.Sleep(time.Second)
		w.resetNews(silent)
	} else {
		w.breakStreams(broken, back, false)
	}
	w.rollAll(16, 3)
	w.until(75)
}

// playMove: a release in steps; with each step a new configuration moves discovery and the relay. In a step three
// endpoints begin to drain and three new ones start. Without trouble nothing moves.
func playMove(w *world, trouble bool) {
	const steps, pause = 42, 1.8
	w.until(6)
	for i := range steps {
		if trouble {
			w.slack(4000, "SIGHUP")
			w.move()
			time.Sleep(time.Duration(i%8) * 300 * time.Microsecond)
		}
		w.mu.Lock()
		var changed []*server
		for _, name := range w.active()[:3] {
			s := w.servers[name]
			s.status = "leaving"
			changed = append(changed, s, w.addServer(s.zone, 1))
		}
		w.agent.change(changed...)
		w.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	w.until(6 + steps*pause + 13)
}

// playMoveJoin: new configurations move discovery and the relay while proxies' streams come back. Then endpoints give way to
// new ones. Without trouble nothing moves.
func playMoveJoin(w *world, trouble bool) {
	w.until(6)
	for i := range 14 {
		w.breakStreams([]int{i % 12, (i + 1) % 12, (i + 2) % 12}, func(int) time.Duration { return time.Hour }, false)
		time.Sleep(time.Second)
		if trouble {
			w.slack(4000, "SIGHUP")
			w.move()
			time.Sleep(time.Duration(i%8) * 300 * time.Microsecond)
		}
		w.mu.Lock()
		for _, p := range w.proxies {
			p.join()
		}
		w.mu.Unlock()
		time.Sleep(1200 * time.Millisecond)
	}
	w.rollAll(39, 3)
	w.until(100)
}

// singleDeployment is of the size of the bench for real pilots, with all proxies at one pilot and left on their standing
// tables as far as the pilot likes.
func singleDeployment(d *deployment) {
	d.zones = []string{"a", "b", "c"}
	d.endpoints, d.proxies, d.ratePerProxy, d.standing, d.conns = 30, 400, 1, 10, 1000
}

// playSingle: endpoints drain one by one, now and then, and nothing else happens. It looks for an exclusion that goes out
// alone and is never acknowledged.
func playSingle(w *world, trouble bool) {
	w.until(20)
	for i := range 8 {
		if trouble {
			w.mu.Lock()
			s := w.servers[w.active()[i%3]]
			s.status = "leaving"
			w.agent.change(s)
			w.mu.Unlock()
		}
		w.until(20 + float64(i+1)*5)
	}
	w.until(66)
}

// zoneDeployment has three zones and a load of 0.6.
func zoneDeployment(d *deployment) {
	d.zones = []string{"a", "b", "c"}
	d.endpoints, d.proxies, d.ratePerProxy = 24, 24, 160.0/24
	d.capacity = 160 * 132 / 0.6 / 24
}

// playZone: a zone is lost with its endpoints and proxies for 5 s and returns cold.
func playZone(w *world, trouble bool) {
	w.until(20)
	if trouble {
		w.loseZone(0.5)
	}
	w.until(45)
}

// playRetry: one of twelve endpoints becomes slow; it runs what it takes. Without trouble none does.
func playRetry(w *world, trouble bool) {
	w.until(10)
	if trouble {
		w.mu.Lock()
		s := w.servers[w.active()[0]]
		s.mode = "slow"
		w.log("%s becomes slow", s.name)
		w.mu.Unlock()
	}
	w.until(25)
}

// playRandom plays drawn disruptions of the kinds that the pages name, for a minute.
func playRandom(w *world, _ bool) {
	w.until(6)
	for w.nowMs() < 65000 {
		w.mu.Lock()
		kind := w.random.IntN(20)
		size := w.random.Float64()
		pause := time.Duration((0.05 + 2*w.random.Float64()*w.random.Float64()) * float64(time.Second))
		w.mu.Unlock()
		w.disturb(kind, size)
		time.Sleep(pause)
	}
	w.until(78)
}

// disturb plays one disruption.
func (w *world) disturb(kind int, size float64) {
	w.note("disruption %d of size %.2f", kind, size)
	w.mu.Lock()
	standing := len(w.active())
	w.mu.Unlock()
	if standing == 0 {
		return
	}
	switch kind {
	case 0, 1: // streams break
		w.breakStreams(w.draw(0.2+0.6*size), func(int) time.Duration { return w.span(0.41, 2.2) }, false)
	case 2: // proxies restart
		w.breakStreams(w.draw(0.1+0.4*size), func(int) time.Duration { return w.span(1.8, 4.5) }, true)
	case 3: // one connection for news is reset
		w.mu.Lock()
		var n *newsStream
		if len(w.relay.news) > 0 {
			n = w.relay.news[w.random.IntN(len(w.relay.news))]
		}
		w.mu.Unlock()
		w.resetNews(n)
	case 4: // one goes silent
		w.silenceNews(int(size * 2))
	case 5: // calls fail
		w.slack(1500, "calls fail")
		w.mu.Lock()
		w.relay.failing = []string{"broken", "broken before", "silent", "spoilt"}[w.random.IntN(4)]
		w.relay.fails = 1 + w.random.IntN(3)
		w.mu.Unlock()
	case 6, 7, 8: // an endpoint gives way to a new one
		w.mu.Lock()
		names := w.active()
		w.mu.Unlock()
		if len(names) > 6 {
			w.replace(names[int(size*float64(len(names)))], 5*time.Second)
		}
	case 9: // an endpoint vanishes and comes back cold
		w.vanish(size)
	case 10: // an endpoint hangs
		w.mu.Lock()
		names := w.active()
		s := w.servers[names[int(size*float64(len(names)))]]
		s.mode = "hang"
		w.mu.Unlock()
		time.AfterFunc(8*time.Second, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			s.mode = ""
		})
	case 11: // the pilot restarts
		signal := syscall.SIGTERM
		if size < 0.5 {
			signal = syscall.SIGKILL
		}
		w.restartPilot(signal)
	case 16: // a zone is lost and returns cold
		w.loseZone(size)
	case 17: // many endpoints give way at once
		w.mu.Lock()
		names := w.active()
		w.mu.Unlock()
		for i := range int(0.6 * size * float64(len(names))) {
			w.replace(names[i], 5*time.Second)
		}
	case 18: // one endpoint drains and comes back as it was
		w.mu.Lock()
		names := w.active()
		s := w.servers[names[int(size*float64(len(names)))]]
		if len(names) > 6 {
			s.status = "leaving"
			w.agent.change(s)
			time.AfterFunc(time.Duration(8*size*float64(time.Second)), func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				s.status = "active"
				w.agent.change(s)
			})
		}
		w.mu.Unlock()
	case 13: // the relay is out of reach
		w.slack(1500+1000*4*size, "the relay is out of reach")
		w.outage(time.Duration(4 * size * float64(time.Second)))
	case 14: // discovery is down
		w.mu.Lock()
		w.agent.silent = true
		w.mu.Unlock()
		time.AfterFunc(time.Duration(3*size*float64(time.Second)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.agent.silent = false
		})
	case 15: // one connection for news goes silent and is reset later
		n := w.silenceNews(int(size * 2))
		time.AfterFunc(time.Duration(2*size*float64(time.Second)), func() { w.resetNews(n) })
	case 19: // signals in series: two new configurations at once, and the end during the second
		w.slack(4000, "SIGHUP")
		w.move()
		w.pilot.signal(syscall.SIGHUP)
		w.restartPilot(syscall.SIGTERM)
	case 12: // a new configuration
		w.slack(4000, "SIGHUP")
		w.move()
	}
}

// restartPilot ends the pilot, breaks all streams, and starts it again.
func (w *world) restartPilot(signal syscall.Signal) {
	w.pilot.end(signal)
	w.mu.Lock()
	for _, p := range w.proxies {
		p.leave()
	}
	w.mu.Unlock()
	time.Sleep(w.span(0.3, 3))
	w.mu.Lock()
	for _, p := range w.proxies {
		p.rejoinAfter(w.drawSpan(0.05, 2.2))
	}
	w.mu.Unlock()
	if err := w.pilot.begin(); err != nil {
		fmt.Println(err)
	}
}

// loseZone takes a zone away, endpoints and proxies, and brings it back cold after 5 s.
func (w *world) loseZone(size float64) {
	w.mu.Lock()
	zone := w.d.zones[int(size*float64(len(w.d.zones)))]
	var numbers []int
	for i, p := range w.proxies {
		if p.zone == zone {
			numbers = append(numbers, i)
		}
	}
	var lost []*server
	for _, s := range w.servers {
		if s.zone == zone && s.status == "active" && len(w.d.zones) > 1 {
			s.status = "left"
			lost = append(lost, s)
		}
	}
	if len(lost) > 0 {
		w.agent.change(lost...)
	}
	w.mu.Unlock()
	w.breakStreams(numbers, func(int) time.Duration { return 5 * time.Second }, true)
	time.AfterFunc(5*time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, s := range lost {
			s.status = "active"
			s.sinceMs = time.Now().UnixMilli()
			s.startedMs = w.nowMs()
			s.freshAt = 0
			s.sent = nil
		}
		if len(lost) > 0 {
			w.agent.change(lost...)
		}
	})
}

// rejoinAfter lets a proxy join after a while. The caller must hold mu.
func (p *proxy) rejoinAfter(after time.Duration) {
	time.AfterFunc(after, func() {
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		p.join()
	})
}

// vanish takes an endpoint from the list and brings it back cold, under its name.
func (w *world) vanish(size float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := w.active()
	if len(names) < 6 {
		return
	}
	s := w.servers[names[int(size*float64(len(names)))]]
	s.status = "left"
	w.agent.change(s)
	time.AfterFunc(time.Duration(1+9*size)*time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.status = "active"
		s.sinceMs = time.Now().UnixMilli()
		s.startedMs = w.nowMs()
		s.freshAt = 0
		s.sent = nil
		w.agent.change(s)
	})
}

// move puts discovery and relay at other addresses and tells the pilot with SIGHUP; the old ones close later.
func (w *world) move() {
	w.mu.Lock()
	oldServer := w.agent.servers[len(w.agent.servers)-1]
	oldListener := w.relay.listeners[len(w.relay.listeners)-1]
	var old []*newsStream
	old = append(old, w.relay.news...)
	_ = oldListener.Close()
	_ = w.agent.listen()
	_ = w.relay.listen()
	_ = w.pilot.configure()
	w.mu.Unlock()
	w.pilot.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, func() {
		_ = oldServer.Close()
		for _, n := range old {
			_ = n.conn.Close()
		}
	})
}

// draw draws a share of the proxies.
func (w *world) draw(share float64) (numbers []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.proxies {
		if w.random.Float64() < share {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// span draws a time in seconds.
func (w *world) span(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*0.5) * float64(time.Second))
}

// drawSpan draws a time in seconds. The caller must hold mu.
func (w *world) drawSpan(from, to float64) time.Duration {
	return time.Duration((from + (to-from)*w.random.Float64()) * float64(time.Second))
}

// outage cuts the relay off for a while: what stands goes silent and is reset at the end, new connections are reset.
func (w *world) outage(length time.Duration) {
	w.mu.Lock()
	r := w.relay
	r.refuse = true
	r.failing = "broken before"
	r.fails = 1 << 30
	old := append([]*newsStream{}, r.news...)
	for _, n := range old {
		n.silent = true
	}
	w.mu.Unlock()
	time.AfterFunc(length, func() {
		w.mu.Lock()
		r.refuse = false
		r.fails = 0
		w.mu.Unlock()
		for _, n := range old {
			reset(n.conn)
		}
	})
}

// vary draws another deployment.
func vary(d *deployment, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	d.zones = []string{"a", "b", "c"}[:1+random.IntN(3)]
	d.proxies = 8 + random.IntN(60)
	d.endpoints = 8 + random.IntN(24)
	d.ratePerProxy = 160 / float64(d.proxies)
	d.standing = []int{5, 10}[random.IntN(2)]
	d.graceMs = []float64{2000, 3000}[random.IntN(2)]
	d.linesPerS = []float64{800, 3600}[random.IntN(2)]
	d.backlog = int(1.5 * d.linesPerS)
	d.conns = []int{20, 74, 400}[random.IntN(3)]
	d.coldMs = []float64{10000, 17000}[random.IntN(2)]
	if seed >= 400 {
		d.capacity = 160 * 132 / 0.7 / float64(d.endpoints)
	}
	if seed < 200 {
		return
	}
	d.proxies = 8 + random.IntN(32)
	d.ratePerProxy = 160 / float64(d.proxies)
	d.classes[1].ownZone = random.IntN(2) == 0
	d.onRequest = random.IntN(3) == 0
	d.admission = []string{"share", "rate", "off"}[random.IntN(3)]
}
