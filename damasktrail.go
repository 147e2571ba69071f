// Package damasktrail holds the interfaces between the parts of the request
// scheduler and the small values that cross them. It has no behaviour of its
// own: implementations live in the packages below it. Start from [Engine],
// [Source], [Policy] and [Refusal].
package damasktrail
