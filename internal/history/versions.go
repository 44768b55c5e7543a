package history

// versions checks that no instance goes back, and that an accepted version is
// in force everywhere in time. An instance that is down has no samples.
func (c *checker) versions() {
	newest := map[string]uint64{}
	for _, v := range c.in.Versions {
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
