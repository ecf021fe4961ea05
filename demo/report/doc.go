// Package report evaluates and presents a run. Run.Measure compares the answers
// that clients received with the upstreams' ledger and stores the findings in
// an Audit for each class. Check turns the audits into promises with a verdict
// of PASS, BROKEN or SKIPPED; PromiseList, Table and Plot write the results.
//
// The functions of this package have no side effects apart from the output to
// their writers, and may be called concurrently. Run.Measure modifies its Run.
package report
