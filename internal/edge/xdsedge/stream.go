package xdsedge

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"indigousher/internal/edge/ending"
	"indigousher/internal/wire"
)

// stream is one proxy's; it is the runtime's pilot.Stream.
type stream struct {
	name     string
	classes  []string
	wake     chan struct{}
	end      *ending.Ending[struct{}]
	mu       sync.Mutex
	tables   map[int]*table
	bound    map[string]int // table by kind, once bound
	excluded map[string]bool
	asked    map[string][]string // names by type
	due      map[string]bool     // types to answer
	version  int
	acked    int
	marks    []mark
	sentAt   time.Time
	refusals int
	reports  uint64
}

func newStream(name string, classes []string) *stream {
	return &stream{name: name, classes: classes, wake: make(chan struct{}, 1), end: ending.New[struct{}](), tables: map[int]*table{},
		bound: map[string]int{}, excluded: map[string]bool{}, asked: map[string][]string{}, due: map[string]bool{}}
}

func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// Send takes orders into the state that is pushed next; only the newest state is ever sent, so nothing queues.
func (st *stream) Send(o *wire.Orders) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, op := range o.Ops {
		st.apply(op)
	}
	st.due[typeEndpoint] = true
	st.signal()
	return nil
}

// Ask can't be carried: an LRS server names its period once.
func (st *stream) Ask(*wire.Pace) error { return nil }

// Close ends the stream.
func (st *stream) Close(reason string) { st.end.End(reason) }

// request notes what is asked for, and returns the marks that an acknowledgement answers.
func (st *stream) request(r *ads.DiscoveryRequest) (done []wire.Done, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	t := r.GetTypeUrl()
	if !slices.Contains(servedTypes, t) { // not served here; kept in mind, types that nobody knows would add up
		return nil, nil
	}
	if names := r.GetResourceNames(); r.GetResponseNonce() == "" || !slices.Equal(names, st.asked[t]) {
		st.asked[t] = slices.Clone(names)
		st.due[t] = true
		st.signal()
	}
	if r.GetResponseNonce() == "" || t != typeEndpoint {
		return nil, nil
	}
	version, err := strconv.Atoi(r.GetResponseNonce())
	if err != nil || version > st.version {
		return nil, status.Errorf(codes.InvalidArgument, "version %q answered, %d was sent", r.GetResponseNonce(), st.version)
	}
	if r.GetErrorDetail() != nil {
		if st.refusals++; st.refusals >= maxRefusals {
			return nil, status.Error(codes.Aborted, "assignments are refused again and again")
		}
		return nil, nil
	}
	st.refusals, st.acked = 0, max(st.acked, version)
	for len(st.marks) > 0 && st.marks[0].version <= st.acked {
		m := st.marks[0]
		done = append(done, wire.Done{Mark: m.number, TookMs: float64(time.Since(m.at)) / float64(time.Millisecond)})
		st.marks = st.marks[1:]
	}
	return done, nil
}

// responses returns what is due, by type.
func (st *stream) responses() (list []*ads.DiscoveryResponse) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, t := range slices.Sorted(maps.Keys(st.due)) {
		names := st.knownClasses(st.asked[t])
		if len(names) == 0 {
			continue
		}
		if t == typeEndpoint {
			if len(st.bound) == 0 {
				continue // nothing is bound: the proxy keeps what it has
			}
			if st.acked == st.version {
				st.sentAt = time.Now()
			}
			st.version++
		}
		resp := &ads.DiscoveryResponse{TypeUrl: t, VersionInfo: strconv.Itoa(st.version), Nonce: strconv.Itoa(st.version)}
		for _, name := range names {
			r, err := anypb.New(st.resource(t, name))
			if err != nil {
				continue // can't be laid out: a name that is no text
			}
			resp.Resources = append(resp.Resources, r)
		}
		delete(st.due, t)
		list = append(list, resp)
	}
	return list
}

func (st *stream) knownClasses(names []string) (list []string) {
	for _, n := range names {
		if slices.Contains(st.classes, n) {
			list = append(list, n)
		}
	}
	return list
}
