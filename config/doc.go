// Package config defines the configuration that operators maintain: named profiles,
// which control how a kind of traffic is treated under overload, and assignments,
// which map each service, method and path to a profile.
//
// Profiles and assignments form one Set with one version. Parse reads a Set from
// YAML or JSON and rejects fields that are unknown, repeated, of the wrong type or
// out of range; Validate reports every problem at once. Apply writes a Set to the
// platform with a conditional update, Rollback publishes an earlier Set as a new
// version, and Diff compares two Sets.
//
// Each node has one Store. Offer receives an encoded Set from any source and
// activates it only if it is valid and its version is higher than that of every Set
// the Store accepted before. Match on the Compiled form finds the profile of a call
// without locks or allocations. Follow updates a Store from the platform, and
// Bootstrap fills the Store of a newly started node.
//
// # Guarantees
//
//   - The version of a Store never decreases.
//   - A version that a Store accepted is never replaced by other content with
//     the same version number; such an offer returns a *ForkError.
//   - Apply runs at least the checks that nodes run, so a Set that nodes would
//     reject is rejected before it is stored.
//   - A change id takes effect at most once, even when the response to the
//     write is lost.
//
// # Concurrency
//
// Compiled is immutable. All methods of Compiled and of Store are safe for
// concurrent use. Set and Profile are plain values; callers must not modify a
// *Profile returned by Match.
package config
