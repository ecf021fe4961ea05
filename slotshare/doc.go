// Package slotshare ranks the customers of a service that has too few slots by the slot time that
// their requests take, not by the number of requests.
//
// A Table learns the mean slot time of each customer's requests at each service from responses,
// and returns a customer's Cost: that mean relative to the mean of all requests at the service.
// Share turns a customer's use of its limit into its use of slot time. Top selects the customers
// for which a metric has a series.
//
// The package does no I/O, starts no goroutine and reads no clock.
package slotshare
