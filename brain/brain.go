package brain

// Brain is one pilot's decision maker.
type Brain struct{}

// New makes a Brain from its seed and the terms received at start.
func New(seed int64, terms map[string]any) *Brain { return &Brain{} }

// Handle takes all notes of one moment and returns the orders they lead to.
func (b *Brain) Handle(nowMs float64, notes []Note) []Order { return nil }
