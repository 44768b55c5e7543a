package history

import "time"

// checkVersions checks that no instance reverts to an older version, and that an
// accepted version is in force everywhere within MaxBundleDelay. An instance that is
// down has no samples; one that has just started and has no version yet has the
// same time to load it.
func (c *checker) checkVersions() {
	newest := map[string]uint64{}
	without := map[string]time.Duration{}
	for _, v := range c.in.Versions {
		if v.Version == 0 {
			c.checkMissingVersion(v, without)
			continue
		}
		delete(without, v.Instance)
		if v.Version < newest[v.Instance] {
			c.add(BundleInForce, "%s reverted from version %d to %d at %v", v.Instance, newest[v.Instance], v.Version, v.At)
		}
		newest[v.Instance] = max(newest[v.Instance], v.Version)
		for _, a := range c.in.Acceptances {
			if v.At >= a.At+MaxBundleDelay && v.Version < a.Version {
				c.add(BundleInForce, "%s had version %d in force %v after version %d was accepted", v.Instance, v.Version, v.At-a.At, a.Version)
			}
		}
	}
}

// checkMissingVersion records a violation if an instance still has no version in force
// MaxBundleDelay after a version was accepted and after its first sample without one.
// since holds, for each instance without a version, the time of that first sample.
func (c *checker) checkMissingVersion(v Version, since map[string]time.Duration) {
	first, ok := since[v.Instance]
	if !ok {
		since[v.Instance] = v.At
		return
	}
	for _, a := range c.in.Acceptances {
		if v.At >= max(first, a.At)+MaxBundleDelay {
			c.add(BundleInForce, "%s had no version in force from %v to %v", v.Instance, first, v.At)
			return
		}
	}
}
