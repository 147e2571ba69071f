// Package standin provides small stand-ins for the systems that damasktrail talks
// to, for tests, benchmarks and demonstrations: a model endpoint or plain service
// (start from [NewEndpoint]) and the platform's configuration service (start from
// [NewPlatform]). They implement the protocols of the design page and have a second
// handler for tests, which injects faults and reports the requests received. They
// are not part of the product.
package standin
