package pool

import (
	"math/bits"

	"mulberrydyke/plan"
)

const (
	// predictedFraction is the fraction of past answers that a prediction covers.
	predictedFraction = 0.7
	// defaultOutputTokens is the prediction until enough answers were recorded.
	defaultOutputTokens Tokens = 128
	// minOutputSamples is the number of recorded answers that a prediction needs.
	minOutputSamples = 8
	// maxHistogramCount is the sample count at which all bins are halved, so that
	// recent answers weigh more.
	maxHistogramCount = 256
	// maxHistograms bounds the number of histograms.
	maxHistograms = 8192
	histogramBins = 20
)

// histogramKey identifies the histogram of one class of one account.
type histogramKey struct {
	account plan.AccountID
	class   plan.ClassID
}

// lengthHistogram is a histogram of output lengths with power-of-two bins.
type lengthHistogram struct {
	bins  [histogramBins]uint16
	count uint16
}

// add records the output length of one answer.
func (h *lengthHistogram) add(tokens Tokens) {
	bin := min(bits.Len(uint(max(tokens, 0))), histogramBins-1)
	h.bins[bin]++
	h.count++
	if h.count < maxHistogramCount {
		return
	}
	h.count = 0
	for i := range h.bins {
		h.bins[i] /= 2
		h.count += h.bins[i]
	}
}

// estimate returns the predicted output length: the middle of the bin that
// contains the predictedFraction quantile, or defaultOutputTokens while there
// are too few samples.
func (h *lengthHistogram) estimate() Tokens {
	if h.count < minOutputSamples {
		return defaultOutputTokens
	}
	rank := uint16(predictedFraction * float64(h.count))
	var seen uint16
	for i, n := range h.bins {
		seen += n
		if seen > rank {
			return Tokens(3 << max(i, 2) >> 2)
		}
	}
	return 1 << (histogramBins - 1)
}

// predictor predicts output lengths by account and class.
type predictor struct {
	histograms map[histogramKey]*lengthHistogram
}

// add records the output length of a finished request. Once there are
// maxHistograms, no new histogram is created.
func (p *predictor) add(req *Request, tokens Tokens) {
	key := histogramKey{account: req.Account, class: req.Class}
	h := p.histograms[key]
	if h == nil {
		if len(p.histograms) >= maxHistograms {
			return
		}
		h = &lengthHistogram{}
		p.histograms[key] = h
	}
	h.add(tokens)
}

// estimate predicts the output length of a request.
func (p *predictor) estimate(req *Request) Tokens {
	predicted := defaultOutputTokens
	if h := p.histograms[histogramKey{account: req.Account, class: req.Class}]; h != nil {
		predicted = h.estimate()
	}
	if req.MaxOutput > 0 {
		predicted = min(predicted, req.MaxOutput)
	}
	return predicted
}
