// Package damasktrail defines the interfaces between the components of the request
// scheduler and the values that they exchange. It has no behaviour of its own:
// the implementations are in the packages below it. Start from [Engine],
// [Source], [Policy] and [Refusal].
package damasktrail
