package fleet

import "time"

// Queue is where callers hand in jobs.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string // whose workers run the tasks
	Priority int    // 0 comes first
	Attempts int    // failed runs of a task after which the job fails
	Slack    float64
	Target   time.Duration
	Timeout  time.Duration
	Advice   *AdvicePolicy // nil where any worker may run the tasks
}

// AdvicePolicy is how long advice takes and lasts.
type AdvicePolicy struct {
	Validity time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name          string
	ChecksRoom    bool // its workers reject what does not fit
	MaxConns      int
	StandbyUnpaid bool
}

// Config is a configuration. Versions only rise.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Raw is the form in which instances pass the configuration on.
	Raw []byte
}

// Limits bound callers' connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Queue returns the queue of a host and path: the longest matching prefix.
func (c *Config) Queue(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || len(path) < len(q.Prefix) || path[:len(q.Prefix)] != q.Prefix {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// ByName returns the queue of that name, or nil.
func (c *Config) ByName(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// ConfigSource decodes the operator's configuration.
type ConfigSource interface {
	// Place returns the table and key of the configuration, in the empty part.
	Place() (table, key string)
	// Decode reads a stored or passed-on configuration.
	Decode(raw []byte) (*Config, error)
}
