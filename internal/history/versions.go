package history

import "time"

// versions checks that no instance goes back, and that an accepted version is
// in force everywhere in time. An instance that is down has no samples; one that
// started has as long to find the version as the others have to learn of it.
func (c *checker) versions() {
	newest := map[string]uint64{}
	without := map[string]time.Duration{}
	for _, v := range c.in.Versions {
		if v.Version == 0 {
			c.withoutVersion(v, without)
			continue
		}
		delete(without, v.Instance)
		if v.Version < newest[v.Instance] {
			c.add(BundleInForce, "%s went from %d back to %d at %v", v.Instance, newest[v.Instance], v.Version, v.At)
		}
		newest[v.Instance] = max(newest[v.Instance], v.Version)
		for _, a := range c.in.Acceptances {
			if v.At >= a.At+BundleLimit && v.Version < a.Version {
				c.add(BundleInForce, "%s had %d in force %v after %d was accepted", v.Instance, v.Version, v.At-a.At, a.Version)
			}
		}
	}
}

// withoutVersion checks a sample of an instance that has nothing in force.
func (c *checker) withoutVersion(v Version, since map[string]time.Duration) {
	first, ok := since[v.Instance]
	if !ok {
		since[v.Instance] = v.At
		return
	}
	for _, a := range c.in.Acceptances {
		if v.At >= max(first, a.At)+BundleLimit {
			c.add(BundleInForce, "%s had nothing in force from %v to %v", v.Instance, first, v.At)
			return
		}
	}
}
