// Package play plays one workload once, in virtual time, on the product's own
// nodes.
//
// Nodes speak a dialect, so that requests take the way with the learnt call
// graph, the pressure and the retry budgets. Upstreams hold a slot for each
// request while it works and while its calls run; callers follow their habits.
// What virtual time leaves out is the processor time of the nodes themselves.
//
// Run makes its own bubble and may be called concurrently.
package play
