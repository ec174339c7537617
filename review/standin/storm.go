package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// storm plays troubles of the pages drawn by chance, several at once.
func storm(ctx context.Context, w *world, trouble bool) error {
	count := 0
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	for time.Since(w.log.start) < 100*time.Second && ctx.Err() == nil && trouble {
		w.mu.Lock()
		pause := time.Duration(1500+w.random.Intn(2500)) * time.Millisecond
		what := w.random.Intn(12)
		if kinds[0] != "" {
			_, _ = fmt.Sscan(kinds[w.random.Intn(len(kinds))], &what)
		}
		victim := w.pilots[w.random.Intn(len(w.pilots))]
		zone := w.d.zones[w.random.Intn(len(w.d.zones))]
		span := time.Duration(1000+w.random.Intn(5000)) * time.Millisecond
		up := victim.up
		w.mu.Unlock()
		time.Sleep(pause)
		switch what {
		case 0:
			if !up {
				continue
			}
			signal := syscall.SIGKILL
			if count%2 == 0 {
				signal = syscall.SIGTERM
			}
			victim.end(signal)
			go func() {
				time.Sleep(span)
				if err := victim.start(ctx); err != nil {
					w.log.line("start: %v", err)
					return
				}
				time.Sleep(3 * time.Second)
				w.goHome()
			}()
		case 1, 2:
			count++
			if err := w.replace(ctx, zone, fmt.Sprintf("r%d", count)); err != nil {
				return err
			}
		case 3:
			go victim.relay.breaks(lostAnswers, span/2)
		case 4:
			go victim.relay.breaks(spoilt, span/2)
		case 5:
			go victim.relay.breaks(outOfReach, span)
		case 6:
			if up {
				if err := victim.move(); err != nil {
					return err
				}
			}
		case 7, 8:
			w.mu.Lock()
			for _, p := range w.proxies {
				if w.random.Intn(2) == 0 {
					w.leave(p, "its stream breaks")
				}
			}
			w.mu.Unlock()
		case 10:
			w.breakStreams(0.5, [2]time.Duration{500 * time.Millisecond, 1900 * time.Millisecond})
		case 11:
			victim.relay.breakNews(span / 3)
		case 12:
			for range 5 {
				w.mu.Lock()
				zone = w.d.zones[w.random.Intn(len(w.d.zones))]
				w.mu.Unlock()
				w.restartSome(zone, span)
			}
		case 13:
			victim.agent.breaks(span)
		case 14: // several signals at once
			if !up {
				continue
			}
			for range 3 {
				if err := victim.move(); err != nil {
					return err
				}
				time.Sleep(span / 100)
			}
		case 9:
			w.restartSome(zone, span)
		}
	}
	return w.sleep(ctx, 108)
}

// restartSome ends one endpoint of a zone and starts it anew under its name.
func (w *world) restartSome(zone string, span time.Duration) {
	w.mu.Lock()
	var m member
	for _, name := range sortedNames(w.servers) {
		if s := w.servers[name]; s.entry.Zone == zone && s.entry.Status == active {
			m = member{name, zone, s.entry.Type}
		}
	}
	w.mu.Unlock()
	if m.name == "" {
		return
	}
	w.stopServers(m.name)
	time.AfterFunc(span/2, func() { w.status(left, m.name) })
	time.AfterFunc(span/2+8*time.Second, func() {
		if err := w.add(time.Now(), m); err != nil {
			w.log.line("restart: %v", err)
		}
	})
}
