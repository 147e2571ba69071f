package gateway

// regions returns the lists of regions in which the request may run.
func (c *call) regions() [][]string {
	var res [][]string
	for _, list := range [][]string{c.route.Regions, c.organisation.Regions} {
		if len(list) > 0 {
			res = append(res, list)
		}
	}
	return res
}
