package fleet

import "time"

// Queue is a class of jobs with common policies, addressed by host and path prefix.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string        // the service whose workers run the tasks
	Priority int           // 0 is the highest
	Attempts int           // failed runs of a task after which the job fails
	Slack    float64       // a job is due after its estimated critical path times Slack, plus Target
	Target   time.Duration // see Slack
	Timeout  time.Duration
	Advice   *AdvicePolicy // nil if any worker may run the tasks
}

// AdvicePolicy says how long an Adviser takes, and how long its approval stays valid.
type AdvicePolicy struct {
	Decision  time.Duration // of a call, beside PerWorker
	PerWorker time.Duration // for each worker that a call names
	Validity  time.Duration
}

// Service is a pool of workers that run the tasks of some queues.
type Service struct {
	Name           string
	ChecksCapacity bool // workers reject runs that exceed their free capacity
	MaxConns       int
	StandbyUnpaid  bool
}

// Config is the operator's configuration. A newer configuration has a higher version.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Raw is the encoded configuration, which instances forward to each other.
	Raw []byte
}

// Limits holds the bounds on callers' connections and requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Queue returns the queue with the host and the longest matching prefix of path, or nil.
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

// QueueByName returns the queue with the given name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// ServiceByName returns the service with the given name, or nil.
func (c *Config) ServiceByName(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// ConfigSource locates and decodes the operator's configuration.
type ConfigSource interface {
	// Location returns the table and key of the configuration's row, whose Row.Part is
	// empty.
	Location() (table, key string)
	// Decode decodes a configuration in the form of Config.Raw.
	Decode(raw []byte) (*Config, error)
}
