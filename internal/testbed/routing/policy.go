package routing

// Load balancing algorithms, as the settings spell them.
const (
	// Weighted draws endpoints at random in proportion to their weights. It also stands for any name not listed here.
	Weighted = "weighted"
	// RoundRobin is smooth weighted round robin.
	RoundRobin = "round"
	// TwoChoices draws two endpoints by weight and takes the one with fewer requests in flight.
	TwoChoices = "two"
)

// Policy is how a proxy behaves where its tables leave it open.
type Policy struct {
	Classes    []string // request classes; a class is known by its index here
	Algorithm  string   // load balancing algorithm
	EjectAfter int      // consecutive failures until an endpoint is ejected; 0: never
	EjectionMs float64  // how long an ejection lasts
	RetryMode  int      // for classes to which no pilot assigned a retry mode, see RetryAllowed
}
