package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Settings of the small deployment. Times are in milliseconds.
type deployment struct {
	zones        []string
	classes      []class
	proxies      int
	endpoints    int // at the start, spread evenly over the zones
	ratePerProxy float64
	linesPerS    float64
	backlog      int
	head         int
	lateMs       float64
	emptyForMs   float64
	graceMs      float64
	coldMs       float64
	coldFrom     float64
	fallMs       float64
	fallMultiple float64
	maxMessages  int
	windowMs     float64
	standing     int
	instances    int
	cores        float64
	conns        int
	onRequest    bool
	retryDefault int
	capacity     float64 // work ms that an endpoint does in one second when warm
	admission    string
}

// class is a request class.
type class struct {
	name        string
	share       float64
	idempotency string // as on the wire: read_like, idempotency_key or non_idempotent
	workMs      float64
	aimMs       float64
	giveUpMs    float64
	ownZone     bool
}

// defaultDeployment is about the size of the smallest deployment of the briefs.
func defaultDeployment() deployment {
	return deployment{
		zones: []string{"a", "b"},
		classes: []class{
			{"stock-read", 0.6, "read_like", 120, 1500, 4000, false},
			{"issue-note", 0.4, "non_idempotent", 150, 2500, 7500, false},
		},
		proxies: 12, endpoints: 12, ratePerProxy: 6, linesPerS: 800, backlog: 1200, head: 4, lateMs: 150,
		emptyForMs: 4700, graceMs: 3000, coldMs: 17000, coldFrom: 0.16, fallMs: 1500, fallMultiple: 2.5,
		maxMessages: 30, windowMs: 10000, standing: 5, instances: 1, cores: 1, conns: 74,
		admission: "share", retryDefault: 1, capacity: 4000,
	}
}

// world is everything that surrounds one pilot: its relay, its discovery agent, the proxies and the endpoints. One lock
// guards all of it.
type world struct {
	mu       sync.Mutex
	d        deployment
	start    time.Time
	record   *os.File
	random   *rand.Rand
	relay    *relay
	agent    *agent
	proxies  []*proxy
	servers  map[string]*server
	next     int // number of the next endpoint
	pilot    *pilotProcess
	broken   []string // broken rules
	seen     map[string]bool
	slacks   []slack // what time limits wait because of disruptions, as the pages say
	requests map[string]int
	numbered int // requests that were sent
}

func newWorld(d deployment, record *os.File, seed uint64) *world {
	w := &world{
		d: d, start: time.Now(), record: record, random: rand.New(rand.NewPCG(seed, 7)),
		servers: map[string]*server{}, seen: map[string]bool{}, requests: map[string]int{},
	}
	for i := range d.endpoints {
		w.addServer(d.zones[i%len(d.zones)], 0)
	}
	for i := range d.proxies {
		w.proxies = append(w.proxies, newProxy(w, i, d.zones[i%len(d.zones)]))
	}
	return w
}

// nowMs returns the time since the start in ms.
func (w *world) nowMs() float64 { return float64(time.Since(w.start)) / float64(time.Millisecond) }

// log writes a line to the record. The caller must hold mu.
func (w *world) log(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%10.1f %s\n", w.nowMs(), fmt.Sprintf(format, args...))
}

// note is log for callers that do not hold mu.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log(format, args...)
}

// breakRule records that a rule was broken. Equal subjects are recorded once. The caller must hold mu.
func (w *world) breakRule(rule, subject, format string, args ...any) {
	if w.seen[rule+subject] {
		return
	}
	w.seen[rule+subject] = true
	text := rule + " " + subject + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.log("BROKEN %s", text)
}

// slack is what time limits wait because of a disruption.
type slack struct{ atMs, ms float64 }

// slack lengthens the time limits that run now, as the pages allow for a disruption.
func (w *world) slack(ms float64, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slacks = append(w.slacks, slack{w.nowMs(), ms})
	w.log("slack %.0f ms: %s", ms, why)
}

// slackSince returns for how long a time limit that runs since a time has waited. The caller must hold mu.
func (w *world) slackSince(fromMs float64) (ms float64) {
	until := fromMs
	for _, s := range w.slacks { // in order of time
		from := max(s.atMs, until)
		to := min(s.atMs+s.ms, w.nowMs())
		if to > from {
			ms += to - from
			until = to
		}
	}
	return ms
}

// server is an endpoint.
type server struct {
	name      string
	zone      string
	status    string // active, leaving or left
	sinceMs   int64  // wall clock, 0: long ago
	startedMs float64
	capacity  float64 // work ms that it does in one second when warm
	mode      string  // "", "hang", "slow"
	version   int     // version of the list with its last change
	drainedAt float64 // when it was made leaving or left, 0: not
	toldAt    float64 // when the pilot was told of that, 0: not yet
	freshAt   float64 // when the pilot was told of its start, 0: not yet
	sent      []sending
	count     map[string]*tally // by zone of the proxies
	served    int
}

// sending is work that was sent to a cold endpoint.
type sending struct {
	atMs, workMs float64
	knowing      bool
}

// tally is what the proxies of a zone met at an endpoint since the last report.
type tally struct {
	total, errors int
	rttSum        float64
}

// addServer adds an active endpoint. ageMs is 0 for one that started long ago, else it starts now. The caller must hold
// mu, but for the start.
func (w *world) addServer(zone string, fresh int64) *server {
	s := &server{
		name: fmt.Sprintf("s-%04x", 0x5be0+w.next*37), zone: zone, status: "active", capacity: w.d.capacity,
		count: map[string]*tally{},
	}
	w.next++
	if fresh != 0 {
		s.sinceMs = time.Now().UnixMilli()
		s.startedMs = w.nowMs()
	}
	w.servers[s.name] = s
	return s
}

// warmth returns the fraction of its capacity that an endpoint has now. The caller must hold mu.
func (w *world) warmth(s *server) float64 {
	if s.sinceMs == 0 {
		return 1
	}
	age := (w.nowMs() - s.startedMs) / w.d.coldMs
	return min(1, w.d.coldFrom+(1-w.d.coldFrom)*age)
}
