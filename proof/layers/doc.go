// Package layers checks the order of the project's modules: a module imports
// only modules of lower layers. docs/DESIGN.md has the layers in a table, which
// ReadOrder reads; ReadImports reads the sources, and Order.Check compares both.
//
// The failure: a package that decides imports one that does I/O, or two modules
// come to know each other through a third. Each such import compiles, and the
// module can no longer be read, tested or used without the rest. Test files are
// left out: they prove modules together, and nothing can import them.
package layers
