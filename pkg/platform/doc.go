// Package platform is a client of the services that the hosting platform
// provides: the transactional table, the object store and the instance list.
//
// The client uses the etcd v3 JSON gateway (range and txn) for the table,
// path-style S3 GET and PUT for the object store, and the Prometheus HTTP service
// discovery format for the instance list.
package platform
