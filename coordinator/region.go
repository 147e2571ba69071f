package coordinator

// maxRegions bounds the regions of a list in an ask, so that it fits into one packet. A
// region that is left out only restricts the request further.
const maxRegions = 32

// boundRegions returns the lists with at most maxRegions regions each.
func boundRegions(lists [][]string) [][]string {
	var res [][]string
	for _, list := range lists {
		res = append(res, list[:min(len(list), maxRegions)])
	}
	return res
}
