package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"skylarkport/internal/job"
	"skylarkport/internal/resource"
)

// service is a latency-critical service with its actual latency and memory use,
// which are hidden from the policy.
type service struct {
	spec      *job.Spec
	idleRatio float64 // latency without load or neighbours, relative to the target
	loadRatio float64 // added to it at full load
	memoryMB  float64
	index     int // row in the table of slowdowns
}

// baselineP99 returns the 99th percentile of the latency without neighbours, in
// seconds. It rises steeply when a replica is loaded beyond its capacity.
func (s *service) baselineP99(load float64) float64 {
	ratio := s.idleRatio + s.loadRatio*math.Pow(load, 2.5)
	if load > 1 {
		ratio *= 1 + 4*(load-1)
	}
	return ratio * s.spec.Target.D().Seconds()
}

// family is a batch family with the actual resource use and duration of its
// tasks, and the ones that its jobs declare.
type family struct {
	name         string
	index        int // column in the table of slowdowns
	milliCPU     float64
	memoryMB     float64
	seconds      float64
	declared     resource.Vector
	declaredTime time.Duration
	noiseWave    bool // only submitted during a noise wave
}

// interference is how much a family slows a service down: atFullLoad at the
// service's full load, scaled by the load to the power of loadExponent.
type interference struct{ atFullLoad, loadExponent float64 }

// truth holds the services, the batch families and the table of slowdowns, all of
// which are hidden from the policy.
type truth struct {
	services     []*service
	families     []*family
	interference [][]interference // by the indexes of service and family
}

// slowdown returns how much one run of f at its full processor use adds to the
// factor by which s is slowed down.
func (t *truth) slowdown(s *service, f *family, load float64) float64 {
	p := t.interference[s.index][f.index]
	return p.atFullLoad * math.Pow(load, p.loadExponent)
}

const (
	familyCount     = 14
	noiseWaveFamily = familyCount // follows the families that are always submitted
)

func newTruth(d *Deployment, rng *rand.Rand) *truth {
	t := &truth{}
	for i := range d.Services {
		t.services = append(t.services, &service{
			spec:      &d.Services[i],
			idleRatio: 0.25 + 0.08*rng.Float64(),
			loadRatio: 0.22 + 0.1*rng.Float64(),
			memoryMB:  0.5 * float64(d.Services[i].Needs.MemoryMB),
			index:     i,
		})
	}
	for i := range familyCount {
		t.families = append(t.families, newFamily(i, rng))
	}
	wave := newFamily(noiseWaveFamily, rng)
	wave.name, wave.noiseWave = "wave", true
	t.families = append(t.families, wave)
	for range t.services {
		t.interference = append(t.interference, newInterferenceRow(rng))
	}
	return t
}

// newFamily returns a random family whose declared resources are far from those
// it uses: mostly far too large, sometimes too small.
func newFamily(i int, rng *rand.Rand) *family {
	f := &family{
		name:     fmt.Sprintf("family-%02d", i),
		index:    i,
		milliCPU: 700 + 2800*rng.Float64(),
		memoryMB: 800 + 5200*rng.Float64(),
		seconds:  60 * math.Exp(1.6*rng.Float64()),
	}
	declaredFactor := func() float64 {
		if rng.Float64() < 0.12 {
			return 0.7 + 0.2*rng.Float64()
		}
		return 1.6 + 2.4*rng.Float64()
	}
	f.declared = resource.Vector{MilliCPU: int64(f.milliCPU * declaredFactor()), MemoryMB: int64(f.memoryMB * declaredFactor())}
	f.declaredTime = time.Duration(f.seconds * math.Exp(1.5*rng.NormFloat64()) * float64(time.Second))
	return f
}

// newInterferenceRow returns a random row of the table of slowdowns: nearly
// half of the families hardly slow the service down, a third somewhat, a fifth
// a lot. Some do so only under load, some at any time. The last entry is the
// noise wave's family.
func newInterferenceRow(rng *rand.Rand) []interference {
	out := make([]interference, 0, familyCount+1)
	powers := []float64{0.5, 1.5, 4}
	for range familyCount {
		p := interference{loadExponent: powers[rng.IntN(len(powers))]}
		switch x := rng.Float64(); {
		case x < 0.45:
			p.atFullLoad = 0.02 * rng.Float64()
		case x < 0.8:
			p.atFullLoad = 0.04 + 0.11*rng.Float64()
		default:
			p.atFullLoad = 0.3 + 0.6*rng.Float64()
		}
		out = append(out, p)
	}
	return append(out, interference{atFullLoad: 0.5 + 0.5*rng.Float64(), loadExponent: 0.5})
}

// newTask returns a task of the family with random deviations from its means.
func newTask(f *family, rng *rand.Rand) *task {
	vary := func(v, sigma float64) float64 { return v * math.Exp(sigma*rng.NormFloat64()) }
	return &task{
		family:   f,
		milliCPU: vary(f.milliCPU, 0.1),
		memoryMB: vary(f.memoryMB, 0.08),
		seconds:  vary(f.seconds, 0.2),
	}
}
