// Package workload reads workload files: which services there are, how their
// requests call one another, who sends how much of what, what breaks and when,
// and which variants of all this are to be compared.
//
// Parse reads a file, File.Workload gives the workload of one variant. Whatever
// is wrong is listed at once in an *Error, each problem with its line and field.
package workload
