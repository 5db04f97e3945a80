// Package platform is a stand-in for the platform: an in-memory object API with
// versions, conditional updates, watches, rate limits and a lagging list of VMs.
// Faults are set through its administration endpoints.
package platform
