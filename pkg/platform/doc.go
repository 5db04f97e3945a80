// Package platform is the client of the platform's object API: versioned
// objects, conditional updates, watches, and the lagging list of VMs.
package platform
