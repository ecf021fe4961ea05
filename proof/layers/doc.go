// Package layers checks that each module of the project imports only modules of
// lower layers. ReadOrder reads the layers from a table in docs/DESIGN.md,
// ReadSources reads the imports from the source files, and Order.Check compares
// both.
//
// The check guards against a decision package that imports an I/O package, and
// against two modules that become coupled through a third one. Such an import
// compiles, but the module can then no longer be read, tested or used on its
// own. Test files are exempt: they test modules together, and no package can
// import them.
package layers
