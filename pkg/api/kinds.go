package api

// Kinds of objects that operators declare.
const (
	KindService    = "Service"
	KindDataCentre = "DataCentre"
	KindRoute      = "Route"
	KindWorkKind   = "WorkKind"
	KindCaller     = "Caller"
	KindRollout    = "Rollout"
)

// Key returns the name of the object within the configuration: kind/name.
func (o Object) Key() string {
	return o.Kind + "/" + o.Name
}
