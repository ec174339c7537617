package routing

// Names of the load balancing algorithms in the settings.
const (
	// Weighted picks endpoints at random in proportion to their weights. Unknown names are treated as Weighted.
	Weighted = "weighted"
	// RoundRobin is smooth weighted round robin.
	RoundRobin = "round"
	// TwoChoices picks two endpoints at random by weight and uses the one with fewer attempts in flight.
	TwoChoices = "two"
)

// Policy holds the routing settings of a proxy that its pilot does not send.
type Policy struct {
	Classes    []string // names of the request classes; other code identifies a class by its index in this slice
	Algorithm  string   // load balancing algorithm
	EjectAfter int      // number of consecutive failures after which an endpoint is ejected; 0 disables ejection
	EjectionMs float64  // duration of an ejection, in ms
	RetryMode  int      // default for classes whose retry mode no pilot has set, see RetryAllowed
}
