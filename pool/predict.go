package pool

import (
	"math/bits"

	"mulberrydyke/plan"
)

const (
	// predictPart is the part of past answers that a prediction covers.
	predictPart = 0.7
	// predictDefault is used before enough answers were seen.
	predictDefault Tokens = 128
	// predictSamples is how many answers a prediction needs.
	predictSamples = 8
	// predictHalve is the count at which old samples are halved.
	predictHalve = 256
	// predictMost bounds the number of histograms.
	predictMost = 8192
	lengthBins  = 20
)

type lengthKey struct {
	account plan.AccountID
	class   plan.ClassID
}

// lengths is a histogram of output lengths in powers of two.
type lengths struct {
	bins  [lengthBins]uint16
	count uint16
}

func (l *lengths) add(n Tokens) {
	bin := min(bits.Len(uint(max(n, 0))), lengthBins-1)
	l.bins[bin]++
	l.count++
	if l.count < predictHalve {
		return
	}
	l.count = 0
	for i := range l.bins {
		l.bins[i] /= 2
		l.count += l.bins[i]
	}
}

func (l *lengths) estimate() Tokens {
	if l.count < predictSamples {
		return predictDefault
	}
	want := uint16(predictPart * float64(l.count))
	var seen uint16
	for i, n := range l.bins {
		seen += n
		if seen > want {
			return Tokens(3 << max(i, 2) >> 2)
		}
	}
	return 1 << (lengthBins - 1)
}

// predictor estimates output lengths by account and class.
type predictor struct {
	seen map[lengthKey]*lengths
}

func (p *predictor) add(ask *Request, n Tokens) {
	key := lengthKey{account: ask.Account, class: ask.Class}
	l := p.seen[key]
	if l == nil {
		if len(p.seen) >= predictMost {
			return
		}
		l = &lengths{}
		p.seen[key] = l
	}
	l.add(n)
}

func (p *predictor) estimate(ask *Request) Tokens {
	guess := predictDefault
	if l := p.seen[lengthKey{account: ask.Account, class: ask.Class}]; l != nil {
		guess = l.estimate()
	}
	if ask.MaxOutput > 0 {
		guess = min(guess, ask.MaxOutput)
	}
	return guess
}
