// Package platform speaks to the services that the hosting platform provides:
// the transactional table, the object store and the instance list.
//
// The table is reached through the etcd v3 JSON gateway (range and txn), the
// object store through path-style S3 GET and PUT, and the instance list
// through the Prometheus HTTP service discovery format.
package platform
