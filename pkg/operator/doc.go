// Package operator serves the resource API to operators: it validates and
// commits changes of the configuration, and answers what is declared, what is in
// force on which node, and why the system acted as it did.
//
// A change is committed by one conditional update of the manifest. Everything
// written before it (blobs) is invisible until then, so that a failure at any
// call of the platform leaves the configuration as it was.
package operator
