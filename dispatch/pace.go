package dispatch

import "time"

const (
	// paceFirst is the assumed reading speed of an engine, in tokens a
	// millisecond, until it has been measured.
	paceFirst = 75.0
	// paceLeast and paceMost bound what is believed of a measurement.
	paceLeast = 10.0
	paceMost  = 1000.0
	// paceSamples is the weight of samples from which a measurement is believed.
	paceSamples = 20
	// paceDecay is the weight that is left to earlier samples.
	paceDecay = 0.985
)

// Samples sums up measurements of how long engines take to the first event of a
// prompt, by the number of tokens that they had to read. The speed of reading is
// the slope; delays that don't depend on the tokens are the intercept.
type Samples struct {
	_      struct{} `cbor:",toarray"`
	Weight float64
	// Tokens and Millis are the sums of both, TokensSquared and Product those of
	// the tokens' square and of tokens times milliseconds.
	Tokens, Millis, TokensSquared, Product float64
}

func (s *Samples) add(o *Samples) {
	s.Weight += o.Weight
	s.Tokens += o.Tokens
	s.Millis += o.Millis
	s.TokensSquared += o.TokensSquared
	s.Product += o.Product
}

// measured takes up the time to the first event of a prompt that found no other
// prompt to be read on its engine.
func (s *Samples) measured(tokens int, first time.Duration) {
	x, y := float64(tokens), float64(first)/float64(time.Millisecond)
	s.Weight = s.Weight*paceDecay + 1
	s.Tokens = s.Tokens*paceDecay + x
	s.Millis = s.Millis*paceDecay + y
	s.TokensSquared = s.TokensSquared*paceDecay + x*x
	s.Product = s.Product*paceDecay + x*y
}

// fit returns the tokens read in a millisecond, and the delay in milliseconds
// that comes besides.
func (s *Samples) fit() (speed, delay float64) {
	spread := s.Weight*s.TokensSquared - s.Tokens*s.Tokens
	if s.Weight < paceSamples || spread <= 0 {
		return paceFirst, 0
	}
	slope := (s.Weight*s.Product - s.Tokens*s.Millis) / spread
	if slope <= 0 {
		return paceMost, max(0, s.Millis/s.Weight)
	}
	delay = max(0, (s.Millis-slope*s.Tokens)/s.Weight)
	return min(paceMost, max(paceLeast, 1/slope)), delay
}
