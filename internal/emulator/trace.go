package emulator

// Tracer follows decisions.
type Tracer struct{}

func (*Tracer) began(*seat) {}
